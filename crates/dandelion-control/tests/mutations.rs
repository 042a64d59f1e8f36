//! Mutation tests: with one safety rule disabled, the checked invariants must detect it.

mod support;

use dandelion_control::feed::message::AppliedCount;
use dandelion_control::node::feeder_reports::FeederRecord;
use dandelion_control::node::feeder_reports::FeederReports;
use dandelion_control::node::feeder_reports::ReportSource;
use dandelion_control::raft::Fault;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use support::group::Group;
use support::group::GroupOptions;
use support::group::name;
use support::group::quick_timing;
use support::schedule::run_schedule;

/// Number of random schedules within which a mutation must be detected.
const MAX_SCHEDULES: u64 = 2500;

/// Requires that some schedule fails with a message that contains `expected`.
fn assert_detected(options: GroupOptions, expected: &str) {
    let failures = (0..MAX_SCHEDULES).filter_map(|seed| run_schedule(options, seed).err());
    let detected = failures
        .into_iter()
        .any(|failure| failure.contains(expected));
    assert!(
        detected,
        "`{expected}` in none of {MAX_SCHEDULES} schedules of {options:?}"
    );
}

fn with_fault(fault: Fault) -> GroupOptions {
    GroupOptions {
        fault: Some(fault),
        ..GroupOptions::of(3)
    }
}

#[test]
fn skipped_sync() {
    let options = GroupOptions {
        skip_sync: true,
        ..GroupOptions::of(3)
    };
    assert_detected(options, "lacks committed entry");
}

#[test]
fn skipped_promise() {
    assert_detected(
        with_fault(Fault::SkipPromise),
        "daemons hold the leader lease",
    );
}

#[test]
fn double_vote() {
    assert_detected(with_fault(Fault::DoubleVote), "lead term");
}

#[test]
fn ignored_log() {
    assert_detected(with_fault(Fault::IgnoreLog), "lacks committed entry");
}

/// Holds back a leader's messages until its successor has committed entries, then delivers them.
/// Returns the first violation, if any.
fn late_appends(fault: Option<Fault>) -> Option<String> {
    let mut group = Group::start(
        GroupOptions {
            fault,
            ..GroupOptions::of(3)
        },
        1,
    );
    assert!(group.run_until(3000, Group::is_converged));
    let old = group.leader().unwrap();
    group.network.held_sender = Some(old);
    group.propose(old, 1);
    group.run(100);
    let next = |group: &Group| group.leader().is_some_and(|number| number != old);
    assert!(group.run_until(3000, next), "{}", group.describe());
    let new = group.leader().unwrap();
    group.propose(new, 2);
    group.propose(new, 3);
    group.run(300);
    let now = group.now;
    group.network.release(now);
    group.run(300);
    group.checks.failure.take()
}

#[test]
fn ignored_term() {
    assert_eq!(late_appends(None), None);
    let noticed = late_appends(Some(Fault::IgnoreTerm)).unwrap();
    assert!(noticed.contains("committed"), "{noticed}");
}

#[test]
fn skipped_lease_wait() {
    assert_detected(with_fault(Fault::SkipLeaseWait), "reported as in force");
}

/// Delivers two reports of a feeder in the wrong order: first the later one, which lists a daemon
/// that lacks the change, then the earlier one without daemons. Returns whether the change then
/// counts as in force.
fn late_report(fault: Option<Fault>) -> bool {
    let now = Millis(1_000_000);
    let mut feeder_reports = FeederReports::open(Millis(0), quick_timing(), fault);
    let source = ReportSource {
        feeder: name(1),
        incarnation: 1,
    };
    let record = |counts| FeederRecord {
        until: now + Millis(100),
        applied: Revision(50),
        counts,
    };
    let behind = AppliedCount {
        revision: Revision(49),
        daemons: 1,
    };
    feeder_reports.record(source.clone(), 2, record(vec![behind]));
    feeder_reports.record(source, 1, record(Vec::new()));
    let own = record(Vec::new());
    feeder_reports
        .propagation(now, Revision(50), &own)
        .is_complete()
}

#[test]
fn late_reports() {
    assert!(!late_report(None));
    assert!(late_report(Some(Fault::LateReports)));
}

/// Clocks that drift by far more than `DRIFT_BOUND_PPM` break the leader lease.
#[test]
fn unbounded_drift() {
    let options = GroupOptions {
        drift_ppm: 500_000,
        ..GroupOptions::of(3)
    };
    assert_detected(options, "daemons hold the leader lease");
}
