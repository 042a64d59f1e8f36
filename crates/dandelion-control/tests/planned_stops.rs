//! Planned stops: replacements take over votes, and a rolling restart changes none.

mod support;

use dandelion_control::node::NodeEvent;
use support::cell::assert_serves;
use support::cell::formed;
use support::cell::is_whole;
use support::cell::members;
use support::cell::voters;
use support::group::Group;
use support::group::GroupOptions;
use support::group::name;

/// Time after its start from which a new daemon counts as caught up, and after the end of a daemon from
/// which the next one may stop: a fifth of the 5.5 s of deployments, as all periods of the simulation.
const CATCH_UP_MS: u64 = 1_100;

/// Time from the announcement of a stop to the end of the process.
const STOP_MS: u64 = 100;

/// Time within which a group must have recovered from any failure in these tests.
const RECOVERY_MS: u64 = 10_000;

/// Starts a group of three voters and `spares` learners. `later` further control daemons stay down until
/// they are started.
fn started(spares: usize, later: usize, seed: u64) -> Group {
    let options = GroupOptions {
        voters: 3,
        added: later,
        ..GroupOptions::of(3 + spares + later)
    };
    let mut group = formed(options, seed);
    group.run(CATCH_UP_MS);
    group
}

/// Tells the running control daemons which daemons stop as planned.
fn announce(group: &mut Group, stopping: &[usize]) {
    let stopping = stopping.iter().map(|n| name(*n)).collect::<Vec<_>>();
    for number in 0..group.vms.len() {
        if group.vms[number].node.is_some() {
            group.event(number, NodeEvent::Stopping(stopping.clone()));
        }
    }
}

/// Runs the group while a daemon is about to stop and gives up its leadership.
fn run_stopping(group: &mut Group, number: usize, millis: u64) {
    let end = group.now + millis;
    while group.now < end {
        if group.leader() == Some(number) {
            group.event(number, NodeEvent::Resign);
        }
        group.step();
    }
}

/// Stops a control daemon as planned; it is back at `until`.
fn stop(group: &mut Group, number: usize, until: u64) {
    announce(group, &[number]);
    run_stopping(group, number, STOP_MS);
    group.vms[number].kill(until);
    announce(group, &[]);
}

/// Two of three voters are replaced, each stopped once its replacement has caught up and the previous one
/// has been gone for that time. Votes of stopped daemons that still counted left one of three voters.
#[test]
fn replacements_lose_quorum() {
    for seed in 0..30 {
        let mut group = started(0, 2, seed);
        group.vms[3].down_until = 0;
        group.vms[4].down_until = 0;
        group.run(CATCH_UP_MS);
        let first = (seed % 3) as usize;
        let second = (first + 1 + (seed / 3 % 2) as usize) % 3;
        stop(&mut group, first, u64::MAX);
        group.run(CATCH_UP_MS);
        stop(&mut group, second, u64::MAX);
        group.run(CATCH_UP_MS);
        assert_serves(&mut group, 1);
        let mut expected = vec![3 - first - second, 3, 4];
        expected.sort_unstable();
        let expected = expected.into_iter().map(|n| name(n).to_string());
        assert_eq!(voters(&group), expected.collect::<Vec<_>>(), "seed {seed}");
    }
}

/// All control daemons stop in turn and come back at their addresses, spare learners included. Handing
/// votes over at such stops kept the group changing its voters all the time.
#[test]
fn rolling_restart() {
    for seed in 0..20 {
        let spares = 1 + (seed % 3) as usize;
        let mut group = started(spares, 0, seed);
        let before = members(&group).unwrap();
        for number in 0..3 + spares {
            let until = group.now + STOP_MS + 300;
            stop(&mut group, number, until);
            let end = group.now + CATCH_UP_MS;
            while group.now < end {
                group.step();
                let unchanged = |n: usize| {
                    let node = group.node(n);
                    node.is_none_or(|n| *n.replica().membership() == before)
                };
                assert!((0..3 + spares).all(unchanged), "{}", group.describe());
                let silent = (0..3).filter(|n| group.node(*n).is_none());
                assert!(silent.count() <= 1, "two voters are down at once");
            }
        }
        assert_serves(&mut group, 1);
    }
}

/// A spare that is added while the cell runs can't be told from a replacement: it takes over one vote, and
/// further rolling restarts change nothing.
#[test]
fn added_spare() {
    for seed in 0..10 {
        let mut group = started(1, 1, seed);
        group.vms[4].down_until = 0;
        group.run(CATCH_UP_MS);
        let before = voters(&group);
        let mut after_first = Vec::new();
        for round in 0..2 {
            for number in 0..5 {
                let until = group.now + STOP_MS + 300;
                stop(&mut group, number, until);
                group.run(CATCH_UP_MS);
            }
            let now = voters(&group);
            if round == 0 {
                let kept = now.iter().filter(|n| before.contains(n)).count();
                assert_eq!(kept, 2, "{before:?} {now:?}");
                after_first = now;
            } else {
                assert_eq!(now, after_first);
            }
        }
        assert_serves(&mut group, 1);
    }
}

/// The stopping daemon, the learner, the leader or the link between the last two fails at any step of the
/// hand-over. The group must end with three responsive voters.
#[test]
fn broken_handover() {
    for (failure, steps) in (0..4).flat_map(|failure| (0..10).map(move |steps| (failure, steps))) {
        let mut group = started(0, 1, 40 + steps);
        group.vms[3].down_until = 0;
        group.run(CATCH_UP_MS);
        let old = (steps % 3) as usize;
        announce(&mut group, &[old]);
        run_stopping(&mut group, old, steps * support::group::STEP_MS);
        let leader = group.leader().unwrap_or(old);
        let back = group.now + 300;
        match failure {
            0 => group.vms[old].kill(u64::MAX),
            1 => group.vms[3].kill(back),
            2 => group.vms[leader].kill(back),
            _ => group.network.blocked.extend([(leader, 3), (3, leader)]),
        }
        run_stopping(&mut group, old, STOP_MS);
        group.vms[old].kill(u64::MAX);
        announce(&mut group, &[]);
        group.run(200);
        group.network.blocked.clear();
        let whole =
            |group: &Group| is_whole(group) && !voters(group).contains(&name(old).to_string());
        let recovered = group.run_until(RECOVERY_MS, whole);
        assert!(
            recovered,
            "failure {failure} after {steps} steps:{}",
            group.describe()
        );
        assert_serves(&mut group, 1);
    }
}
