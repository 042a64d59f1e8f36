//! Random schedules of faults, proposals and resends.

use dandelion_control::node::NodeEvent;
use rand::Rng;

use crate::support::group::Group;
use crate::support::group::STEP;
use crate::support::group::Shape;
use crate::support::network::Weather;
use crate::support::tally::Tally;

/// Simulated time of faults in one schedule, in milliseconds.
const FAULTY: u64 = 900;

/// Simulated time in which a healed group must be whole again, in milliseconds.
const HEALING: u64 = 4000;

/// Runs one schedule and returns the first violation, if any.
pub fn run_schedule(shape: Shape, seed: u64) -> Result<(), String> {
    let mut group = Group::start(shape, seed);
    for slot in &mut group.slots {
        slot.drift_ppm = group.rng.random_range(-shape.drift_ppm..=shape.drift_ppm);
        slot.offset = group.rng.random_range(0..1_000_000);
    }
    group.run_until(2000, Group::is_whole);
    let drawn = Weather {
        loss: [0.0, 0.02, 0.2][group.rng.random_range(0..3)],
        double: 0.05,
        slow: [0.0, 0.05][group.rng.random_range(0..2)],
    };
    group.network.weather = shape.weather.unwrap_or(drawn);
    let end = group.now + FAULTY;
    let mut next = 1;
    let mut wiped = false;
    while group.now < end && group.checks.failure.is_none() {
        disturb(&mut group, shape, &mut wiped);
        work(&mut group, shape, &mut next);
        group.step();
    }
    finish(&mut group)
}

fn disturb(group: &mut Group, shape: Shape, wiped: &mut bool) {
    let number = group.rng.random_range(0..shape.control);
    let other = group.rng.random_range(0..group.slots.len());
    let now = group.now;
    match group.rng.random_range(0..250) {
        0..4 => {
            group.network.cuts.insert((number, other));
        }
        4..6 => {
            for to in 0..group.slots.len() {
                group.network.cuts.extend([(number, to), (to, number)]);
            }
        }
        6..12 => group.network.cuts.clear(),
        12..15 => group.slots[other].paused = now + group.rng.random_range(50..800),
        15..18 => {
            let down = now + group.rng.random_range(10..300);
            group.slots[other].kill(down);
        }
        18..22 => {
            let operations = group.rng.random_range(0..12);
            if let Some(disk) = &group.slots[number].disk {
                disk.light_fuse(operations);
            }
        }
        23..26 => group.event(number, NodeEvent::Resign),
        22 if !*wiped => {
            *wiped = true;
            group.slots[number].kill(now + 50);
            if let Some(disk) = &group.slots[number].disk {
                disk.wipe();
            }
        }
        _ => {}
    }
}

fn work(group: &mut Group, shape: Shape, next: &mut u64) {
    let leader = group.leader();
    let any = group.rng.random_range(0..shape.control);
    let target = leader.unwrap_or(any);
    if group.rng.random_bool(0.25) {
        group.propose(target, *next);
        *next += 1;
    }
    if *next > 1 && group.rng.random_bool(0.1) {
        let old = group.rng.random_range(1..*next);
        group.propose(any, old);
        group.propose(target, old);
    }
}

/// Heals everything; the group must become whole and hold everything that was answered.
fn finish(group: &mut Group) -> Result<(), String> {
    group.heal();
    let mut whole = group.run_until(HEALING, Group::is_whole);
    // Late messages from before the healing may still unseat a leader.
    group.run(5 * STEP);
    whole &= group.run_until(HEALING, Group::is_whole);
    if let Some(failure) = group.checks.failure.take() {
        return Err(failure);
    }
    if !whole {
        return Err(format!(
            "the healed group is not whole:{}",
            group.describe()
        ));
    }
    let Some(leader) = group.leader() else {
        return Err("the healed group has nobody in charge".to_owned());
    };
    let node = group.node(leader).ok_or("the leader is gone")?;
    let tally = node.tables().table::<Tally>().ok_or("no tally")?;
    for (ticket, answer) in &group.checks.firsts {
        if answer.result.is_ok() && !tally.0.contains_key(ticket) {
            return Err(format!("answered proposal {ticket} is lost"));
        }
    }
    Ok(())
}
