//! Random schedules of faults, proposals and resends.

use dandelion_control::node::NodeEvent;
use rand::Rng;

use crate::support::group::Group;
use crate::support::group::GroupOptions;
use crate::support::group::STEP_MS;
use crate::support::network::NetworkFaults;
use crate::support::tally::Tally;

/// Simulated time during which faults occur, in milliseconds.
const FAULT_PHASE_MS: u64 = 900;

/// Simulated time within which a healed group must converge, in milliseconds.
const RECOVERY_LIMIT_MS: u64 = 4000;

/// Runs one schedule and returns the first violation, if any.
pub fn run_schedule(options: GroupOptions, seed: u64) -> Result<(), String> {
    let mut group = Group::start(options, seed);
    for vm in &mut group.vms {
        vm.drift_ppm = group
            .rng
            .random_range(-options.drift_ppm..=options.drift_ppm);
        vm.offset = group.rng.random_range(0..1_000_000);
    }
    group.run_until(2000, Group::is_converged);
    let drawn = NetworkFaults {
        loss: [0.0, 0.02, 0.2][group.rng.random_range(0..3)],
        double: 0.05,
        slow: [0.0, 0.05][group.rng.random_range(0..2)],
    };
    group.network.faults = options.network_faults.unwrap_or(drawn);
    let end = group.now + FAULT_PHASE_MS;
    let mut next = 1;
    let mut wiped = false;
    while group.now < end && group.checks.failure.is_none() {
        inject_fault(&mut group, options, &mut wiped);
        propose_some(&mut group, options, &mut next);
        group.step();
    }
    finish(&mut group)
}

fn inject_fault(group: &mut Group, options: GroupOptions, wiped: &mut bool) {
    let number = group.rng.random_range(0..options.control);
    let other = group.rng.random_range(0..group.vms.len());
    let now = group.now;
    match group.rng.random_range(0..250) {
        0..4 => {
            group.network.blocked.insert((number, other));
        }
        4..6 => {
            for to in 0..group.vms.len() {
                group.network.blocked.extend([(number, to), (to, number)]);
            }
        }
        6..12 => group.network.blocked.clear(),
        12..15 => group.vms[other].paused_until = now + group.rng.random_range(50..800),
        15..18 => {
            let down_until = now + group.rng.random_range(10..300);
            group.vms[other].kill(down_until);
        }
        18..22 => {
            let operations = group.rng.random_range(0..12);
            if let Some(disk) = &group.vms[number].disk {
                disk.crash_after(operations);
            }
        }
        23..26 => group.event(number, NodeEvent::Resign),
        26..29 => {
            group.vms[number].full_until = Some(now + group.rng.random_range(20..500));
            if let Some(disk) = &group.vms[number].disk {
                disk.set_full(true);
            }
        }
        22 if !*wiped => {
            *wiped = true;
            group.vms[number].kill(now + 50);
            if let Some(disk) = &group.vms[number].disk {
                disk.wipe();
            }
        }
        _ => {}
    }
}

fn propose_some(group: &mut Group, options: GroupOptions, next: &mut u64) {
    let leader = group.leader();
    let any = group.rng.random_range(0..options.control);
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

/// Heals everything; the group must converge and have applied every proposal that was answered.
fn finish(group: &mut Group) -> Result<(), String> {
    group.heal();
    let mut converged = group.run_until(RECOVERY_LIMIT_MS, Group::is_converged);
    // Delayed messages from before the healing may still depose a leader.
    group.run(5 * STEP_MS);
    converged &= group.run_until(RECOVERY_LIMIT_MS, Group::is_converged);
    if let Some(failure) = group.checks.failure.take() {
        return Err(failure);
    }
    if !converged {
        return Err(format!(
            "the healed group does not converge:{}",
            group.describe()
        ));
    }
    let Some(leader) = group.leader() else {
        return Err("the healed group has no leader".to_owned());
    };
    let node = group.node(leader).ok_or("the leader is gone")?;
    let tally = node.tables().table::<Tally>().ok_or("no tally")?;
    for (ticket, answer) in &group.checks.first_answers {
        if answer.result.is_ok() && !tally.0.contains_key(ticket) {
            return Err(format!("answered proposal {ticket} is lost"));
        }
    }
    Ok(())
}
