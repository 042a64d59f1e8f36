//! Disks that are full for a while, one after another, never two at once.

mod support;

use support::group::Group;
use support::group::GroupOptions;
use support::group::STEP_MS;

/// Simulated time within which a change must be acknowledged once all disks have room again.
const LIMIT_MS: u64 = 4_000;

/// How the disks are full.
#[derive(Debug, Clone, Copy)]
struct Outages {
    control: usize,
    voters: usize,
    /// Time for which one disk is full.
    full_ms: u64,
    /// Time from the end of one to the beginning of the next.
    gap_ms: u64,
    /// Whether the leader's disk is always the next one; otherwise each disk has its turn.
    leaders: bool,
    /// Whether the process restarts while its disk is full.
    restarts: bool,
    /// Size of the log at which a snapshot is due, in bytes.
    compact_bytes: u64,
}

fn set_full(group: &mut Group, number: usize, full: bool) {
    if let Some(disk) = &group.vms[number].disk {
        disk.set_full(full);
    }
}

/// Proposes a change each few steps, as operators do, at whichever daemon leads.
fn run_busy(group: &mut Group, millis: u64, next: &mut u64) {
    let end = group.now + millis;
    while group.now < end && group.checks.failure.is_none() {
        let is_due = group.now.is_multiple_of(5 * STEP_MS);
        if let Some(leader) = group.leader().filter(|_| is_due) {
            group.propose(leader, *next);
            *next += 1;
        }
        group.step();
    }
}

/// Returns whether a change is acknowledged in time, sent again and again.
fn is_acknowledged(group: &mut Group, ticket: u64) -> bool {
    let end = group.now + LIMIT_MS;
    while group.now < end && group.checks.failure.is_none() {
        if let Some(leader) = group.leader() {
            group.propose(leader, ticket);
        }
        group.run(100);
        if group.checks.first_answers.contains_key(&ticket) {
            return true;
        }
    }
    false
}

fn play(outages: Outages, seed: u64) -> Result<(), String> {
    let options = GroupOptions {
        voters: outages.voters,
        compact_bytes: outages.compact_bytes,
        ..GroupOptions::of(outages.control)
    };
    let mut group = Group::start(options, seed);
    group.run_until(3_000, Group::is_converged);
    let mut next = 1;
    for turn in 0..2 * outages.control {
        let turned = (turn + seed as usize) % outages.control;
        let number = match group.leader() {
            Some(leader) if outages.leaders => leader,
            _ => turned,
        };
        set_full(&mut group, number, true);
        if outages.restarts {
            run_busy(&mut group, outages.full_ms / 2, &mut next);
            let now = group.now;
            group.vms[number].kill(now + 50);
        }
        run_busy(&mut group, outages.full_ms / 2, &mut next);
        set_full(&mut group, number, false);
        run_busy(&mut group, outages.gap_ms, &mut next);
    }
    let acknowledged = is_acknowledged(&mut group, 1_000_000);
    let converged = acknowledged && group.run_until(LIMIT_MS, Group::is_converged);
    if let Some(failure) = group.checks.failure.take() {
        return Err(failure);
    }
    if !acknowledged {
        return Err(format!("a change is not acknowledged:{}", group.describe()));
    }
    if !converged {
        return Err(format!("the group does not converge:{}", group.describe()));
    }
    Ok(())
}

fn play_all(control: usize, voters: usize) {
    let mut failed = Vec::new();
    let mut seed = 0;
    for full_ms in [200, 1_600] {
        for gap_ms in [0, 300] {
            for (leaders, restarts) in [(false, false), (true, false), (false, true), (true, true)]
            {
                seed += 1;
                let outages = Outages {
                    control,
                    voters,
                    full_ms,
                    gap_ms,
                    leaders,
                    restarts,
                    compact_bytes: 512 << (seed % 4),
                };
                if let Err(failure) = play(outages, seed) {
                    failed.push(format!("seed {seed}, {outages:?}: {failure}"));
                }
            }
        }
    }
    assert!(
        failed.is_empty(),
        "{} failed, the first: {}",
        failed.len(),
        failed[0]
    );
}

/// Changes were refused or stayed unanswered for good, after the disks had been full in turn.
#[test]
fn three_in_turn() {
    play_all(3, 3);
}

/// The same with a learner that replaces a voter which is full for long.
#[test]
fn four_in_turn() {
    play_all(4, 3);
}

#[test]
fn five_in_turn() {
    play_all(5, 3);
}
