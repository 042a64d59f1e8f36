//! Each invariant notices when the rule that keeps it is left out.

mod support;

use dandelion_control::feed::message::AppliedCount;
use dandelion_control::node::feeder_reports::FeederRecord;
use dandelion_control::node::feeder_reports::FeederReports;
use dandelion_control::node::feeder_reports::ReportSource;
use dandelion_control::raft::Fault;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use support::group::Group;
use support::group::Shape;
use support::group::name;
use support::group::quick_timing;
use support::schedule::run_schedule;

/// Schedules within which a mutation must be noticed.
const SEEDS: u64 = 2500;

/// Requires that some schedule ends in a failure that says `wanted`.
fn assert_noticed(shape: Shape, wanted: &str) {
    let failures = (0..SEEDS).filter_map(|seed| run_schedule(shape, seed).err());
    let noticed = failures.into_iter().any(|failure| failure.contains(wanted));
    assert!(
        noticed,
        "`{wanted}` in none of {SEEDS} schedules of {shape:?}"
    );
}

fn mutated(fault: Fault) -> Shape {
    Shape {
        fault: Some(fault),
        ..Shape::of(3)
    }
}

#[test]
fn skipped_sync() {
    let shape = Shape {
        skip_sync: true,
        ..Shape::of(3)
    };
    assert_noticed(shape, "lacks committed entry");
}

#[test]
fn skipped_promise() {
    assert_noticed(mutated(Fault::SkipPromise), "daemons in charge");
}

#[test]
fn double_vote() {
    assert_noticed(mutated(Fault::DoubleVote), "lead term");
}

#[test]
fn ignored_log() {
    assert_noticed(mutated(Fault::IgnoreLog), "lacks committed entry");
}

/// Holds back what a leader sends until others have committed in its place, and lets it arrive.
fn late_appends(fault: Option<Fault>) -> Option<String> {
    let mut group = Group::start(
        Shape {
            fault,
            ..Shape::of(3)
        },
        1,
    );
    assert!(group.run_until(3000, Group::is_whole));
    let old = group.leader().unwrap();
    group.network.holding = Some(old);
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
fn skipped_settling() {
    assert_noticed(mutated(Fault::SkipLeaseWait), "said to be in force");
}

/// Returns whether a change counts as complete after a report without daemons, made before one
/// that lists a daemon which lacks the change, arrives after it.
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
        .in_force(now, Revision(50), &own)
        .is_complete()
}

#[test]
fn late_reports() {
    assert!(!late_report(None));
    assert!(late_report(Some(Fault::LateReports)));
}

/// Clocks that drift by far more than the stated bound.
#[test]
fn unbounded_drift() {
    let shape = Shape {
        drift_ppm: 500_000,
        ..Shape::of(3)
    };
    assert_noticed(shape, "daemons in charge");
}
