//! Takeover by a new leader, repair of the group and changes of voters.

mod support;

use dandelion_control::Timing;
use dandelion_control::node::NodeEvent;
use dandelion_control::raft::ChangeError;
use dandelion_control::raft::VoterChange;
use support::group::Group;
use support::group::GroupOptions;
use support::group::name;
use support::tally::Tally;

fn converged(options: GroupOptions, seed: u64) -> Group {
    let mut group = Group::start(options, seed);
    assert!(
        group.run_until(3000, Group::is_converged),
        "{}",
        group.describe()
    );
    group
}

fn assert_no_violation(group: &Group) {
    assert_eq!(group.checks.failure, None);
}

/// Proposes until an answer arrives.
fn change(group: &mut Group, ticket: u64) {
    let done = |group: &Group| group.checks.first_answers.contains_key(&ticket);
    for _ in 0..40 {
        let leader = group.leader().unwrap_or(0);
        group.propose(leader, ticket);
        if group.run_until(100, done) {
            return;
        }
    }
    panic!("no answer to {ticket}:{}", group.describe());
}

fn applied_count(group: &Group, number: usize) -> usize {
    let node = group.node(number).unwrap();
    node.tables().table::<Tally>().unwrap().0.len()
}

fn voter_names(group: &Group) -> Vec<String> {
    let leader = group.leader().unwrap();
    let status = group
        .node(leader)
        .unwrap()
        .status(group.vms[leader].clock(group.now));
    let voters = status.replicas.iter().filter(|r| r.voter);
    let mut names = voters.map(|r| r.daemon.to_string()).collect::<Vec<_>>();
    names.sort();
    names
}

fn kill_and_wipe(group: &mut Group, number: usize) {
    let until = group.now + 20;
    group.vms[number].kill(until);
    group.vms[number].disk.as_ref().unwrap().wipe();
}

/// Returns whether the group is exactly three live, up-to-date voters, without outdated replicas.
fn is_repaired(group: &Group) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let clock = group.vms[leader].clock(group.now);
    let status = group.node(leader).unwrap().status(clock);
    let voters = status.replicas.iter().filter(|r| r.voter);
    status.replicas.len() == 3
        && voters
            .filter(|r| r.alive == Some(true) && r.lag == Some(0))
            .count()
            == 3
}

#[test]
fn paused_leader() {
    for seed in 0..20 {
        let mut group = converged(GroupOptions::of(3), seed);
        let old = group.leader().unwrap();
        change(&mut group, 1);
        group.vms[old].paused_until = group.now + 180_000;
        group.run(300);
        change(&mut group, 2);
        let new = group.leader().unwrap();
        assert_ne!(new, old);
        group.run(2000);
        group.vms[old].paused_until = 0;
        let clock = group.vms[old].clock(group.now);
        let node = group.node(old).unwrap();
        assert_eq!(
            node.leased_term(clock, dandelion_protocol::time::Millis(0)),
            None
        );
        assert!(group.run_until(3000, Group::is_converged));
        assert_no_violation(&group);
        assert_eq!(applied_count(&group, old), 2);
    }
}

/// A leader that can send but not receive, or receive but not send, is replaced.
#[test]
fn one_way_cut() {
    for (seed, outward) in (0..10).flat_map(|seed| [(seed, true), (seed, false)]) {
        let mut group = converged(GroupOptions::of(3), seed);
        let old = group.leader().unwrap();
        for other in (0..4).filter(|other| *other != old) {
            let cut = if outward { (old, other) } else { (other, old) };
            group.network.blocked.insert(cut);
        }
        let replaced = |group: &Group| group.leader().is_some_and(|number| number != old);
        assert!(group.run_until(3000, replaced), "{}", group.describe());
        group.heal();
        change(&mut group, 1);
        assert!(group.run_until(3000, Group::is_converged));
        assert_no_violation(&group);
    }
}

/// A voter whose disk was wiped comes back with a new identity, and a second VM is lost permanently
/// right after the repair: no answered change may be missing.
#[test]
fn loss_after_repair() {
    for seed in 0..30 {
        let mut group = converged(GroupOptions::of(3), seed);
        for ticket in 1..=10 {
            change(&mut group, ticket);
        }
        let first = (seed % 3) as usize;
        let before = group.node(first).unwrap().replica().id();
        kill_and_wipe(&mut group, first);
        group.run(500);
        assert!(group.run_until(5000, is_repaired), "{}", group.describe());
        assert_ne!(group.node(first).unwrap().replica().id(), before);
        let second = (first + 1) % 3;
        group.vms[second].kill(u64::MAX);
        change(&mut group, 11);
        assert!(group.run_until(1000, |group| applied_count(group, first) == 11));
        assert_no_violation(&group);
    }
}

/// A daemon with a wiped folder does not vote in place of its old identity: with only one other
/// voter there is no quorum, and no leader.
#[test]
fn wiped_voter() {
    let mut group = converged(GroupOptions::of(3), 5);
    change(&mut group, 1);
    let leader = group.leader().unwrap();
    let lost = (leader + 1) % 3;
    let silent = (leader + 2) % 3;
    group.vms[silent].kill(u64::MAX);
    kill_and_wipe(&mut group, lost);
    group.run(3000);
    assert_eq!(group.leader(), None);
    group.vms[silent].down_until = 0;
    assert!(group.run_until(5000, is_repaired), "{}", group.describe());
    assert_no_violation(&group);
    assert_eq!(applied_count(&group, lost), 1);
}

#[test]
fn many_changes() {
    let mut group = converged(GroupOptions::of(3), 6);
    for ticket in 1..=600 {
        let leader = group.leader().unwrap();
        group.propose(leader, ticket);
        if ticket % 4 == 0 {
            group.step();
        }
    }
    assert!(group.run_until(3000, |group| group.checks.first_answers.len() == 600));
    let snapshot = group.node(0).unwrap().replica().snapshot().at.index;
    assert!(snapshot > 1, "the log was compacted");
    for number in 0..3 {
        group.vms[number].kill(group.now + 10);
    }
    change(&mut group, 601);
    // Resends after the restart of all control daemons get the first answers.
    for ticket in [1, 300, 600] {
        let leader = group.leader().unwrap();
        group.propose(leader, ticket);
    }
    assert!(group.run_until(3000, Group::is_converged));
    assert_no_violation(&group);
    assert_eq!(applied_count(&group, 0), 601);
}

#[test]
fn replaced_voter() {
    let mut options = GroupOptions::of(4);
    options.plain = 0;
    let mut group = Group::start(options, 7);
    for vm in &mut group.vms {
        vm.settings.voters = 3;
    }
    for number in 0..4 {
        group.vms[number].disk.as_ref().unwrap().wipe();
        group.restart(number);
    }
    assert!(group.run_until(3000, Group::is_converged));
    let before = voter_names(&group);
    let learner = (0..4)
        .find(|n| !before.contains(&name(*n).to_string()))
        .unwrap();
    let old = (0..4)
        .find(|n| *n != learner && Some(*n) != group.leader())
        .unwrap();
    let leader = group.leader().unwrap();
    let change = VoterChange::Replace {
        old: name(old),
        new: name(learner),
    };
    group.event(leader, NodeEvent::ChangeVoters { ticket: 1, change });
    assert!(group.run_until(3000, |group| !group.changes.is_empty()));
    assert_eq!(group.changes, vec![Ok(())]);
    let after = voter_names(&group);
    assert_eq!(after.len(), 3);
    assert!(after.contains(&name(learner).to_string()));
    assert!(!after.contains(&name(old).to_string()));
    assert_no_violation(&group);
}

#[test]
fn quorum_preserved() {
    let mut group = converged(GroupOptions::of(3), 8);
    let leader = group.leader().unwrap();
    let (dead, other) = ((leader + 1) % 3, (leader + 2) % 3);
    group.vms[dead].kill(u64::MAX);
    group.run(400);
    let change = VoterChange::Remove(name(other));
    group.event(leader, NodeEvent::ChangeVoters { ticket: 1, change });
    assert!(group.run_until(1000, |group| !group.changes.is_empty()));
    let refused = ChangeError::NoQuorum {
        daemon: name(other),
    };
    assert_eq!(group.changes, vec![Err(refused)]);
    assert_eq!(voter_names(&group).len(), 3);
}

/// A leader whose disk is full answers nothing more, and another daemon takes over.
#[test]
fn full_disk() {
    for seed in 0..10 {
        let mut group = converged(GroupOptions::of(3), seed);
        change(&mut group, 1);
        let old = group.leader().unwrap();
        group.vms[old].disk.as_ref().unwrap().set_full(true);
        group.propose(old, 2);
        group.step();
        assert!(group.vms[old].failed, "it stopped at the failed write");
        assert!(!group.answers.contains_key(&2));
        change(&mut group, 3);
        assert_ne!(group.leader(), Some(old));
        assert!(group.vms[old].failed, "its disk is still full");
        group.heal();
        change(&mut group, 2);
        assert!(group.run_until(3000, Group::is_converged));
        assert_no_violation(&group);
        assert_eq!(applied_count(&group, old), 3);
    }
}

/// All control daemons crash at the same write operation, for each of 40 operations; no answered
/// change is lost.
#[test]
fn every_write_step() {
    for step in 0..40 {
        let mut group = converged(GroupOptions::of(3), 100 + step);
        for number in 0..3 {
            group.vms[number].disk.as_ref().unwrap().crash_after(step);
        }
        for ticket in 1..=10 {
            let leader = group.leader().unwrap_or(0);
            group.propose(leader, ticket);
            group.run(30);
        }
        group.heal();
        assert!(
            group.run_until(4000, Group::is_converged),
            "{}",
            group.describe()
        );
        assert_no_violation(&group);
        let tally = group.node(0).unwrap().tables().table::<Tally>().unwrap();
        let lost = group
            .checks
            .first_answers
            .keys()
            .find(|ticket| !tally.0.contains_key(ticket));
        assert_eq!(lost, None, "step {step}");
    }
}

/// With the default timing, a killed or paused leader is replaced, and a change is answered by the
/// new one, within 3 s of simulated time.
#[test]
fn takeover_bound() {
    let mut spans = Vec::new();
    for seed in 0..200 {
        let mut options = GroupOptions::of(3 + 2 * (seed as usize % 2));
        options.timing = Timing::default();
        let mut group = Group::start(options, seed);
        assert!(group.run_until(8000, Group::is_converged));
        group.run(seed * 7 % 500);
        let Some(old) = group.leader() else {
            continue;
        };
        if seed % 4 < 2 {
            group.vms[old].kill(u64::MAX);
        } else {
            group.vms[old].paused_until = u64::MAX;
        }
        let begun = group.now;
        while group.checks.first_answers.is_empty() && group.now < begun + 10_000 {
            let next = group.leader().filter(|number| *number != old);
            if let Some(next) = next {
                group.propose(next, 1);
            }
            group.step();
        }
        spans.push(group.now - begun);
        assert_no_violation(&group);
    }
    spans.sort_unstable();
    let (middle, last) = (spans[spans.len() / 2], spans[spans.len() - 1]);
    println!(
        "takeover of {}: median {middle} ms, longest {last} ms",
        spans.len()
    );
    assert!(spans.len() >= 190 && last <= 3000, "{spans:?}");
}

/// A leader that is about to stop transfers its leadership before its lease would have expired.
#[test]
fn planned_stop() {
    for seed in 0..50 {
        let mut group = converged(GroupOptions::of(3), seed);
        group.run(200);
        let old = group.leader().unwrap();
        let begun = group.now;
        let next = |group: &Group| group.leader().is_some_and(|number| number != old);
        while !next(&group) && group.now < begun + 1000 {
            group.event(old, NodeEvent::Resign);
            group.step();
        }
        let promise = GroupOptions::of(3).timing.promise.0;
        assert!(group.now - begun < promise, "{} ms", group.now - begun);
        change(&mut group, 1);
        assert_no_violation(&group);
    }
}

/// A voter that stays away is replaced by a learner, and is itself a learner once it is back.
#[test]
fn absent_voter_replaced() {
    let options = GroupOptions {
        voters: 3,
        ..GroupOptions::of(4)
    };
    let mut group = converged(options, 31);
    change(&mut group, 1);
    let before = voter_names(&group);
    let leader = group.leader().unwrap();
    let absent = (0..4).find(|n| *n != leader && before.contains(&name(*n).to_string()));
    let absent = absent.unwrap();
    group.vms[absent].kill(u64::MAX);
    let replaced = |group: &Group| {
        let now = group.leader().map(|_| voter_names(group));
        now.is_some_and(|now| now.len() == 3 && !now.contains(&name(absent).to_string()))
    };
    assert!(group.run_until(6_000, replaced), "{}", group.describe());
    change(&mut group, 2);
    group.vms[absent].down_until = group.now;
    assert!(
        group.run_until(6_000, Group::is_converged),
        "{}",
        group.describe()
    );
    assert_eq!(applied_count(&group, absent), 2);
    assert_eq!(voter_names(&group).len(), 3);
    assert_no_violation(&group);
}

/// A voter that is back before `replace_after` stays a voter.
#[test]
fn short_absence() {
    let options = GroupOptions {
        voters: 3,
        ..GroupOptions::of(4)
    };
    let mut group = converged(options, 32);
    change(&mut group, 1);
    let before = voter_names(&group);
    let leader = group.leader().unwrap();
    let absent = (0..4).find(|n| *n != leader && before.contains(&name(*n).to_string()));
    let until = group.now + 600;
    group.vms[absent.unwrap()].kill(until);
    group.run(3_000);
    assert_eq!(voter_names(&group), before);
    assert_no_violation(&group);
}
