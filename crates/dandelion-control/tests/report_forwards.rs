//! Which reports are forwarded. Guards against one mesh message for each report and leader, and
//! against a filter that holds back news or lets an upstream look silent.

use std::collections::BTreeMap;

use dandelion_control::report_forwards::KEEP_ALIVE;
use dandelion_control::report_forwards::MAX_UNFILTERED;
use dandelion_control::report_forwards::ReportForwards;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

const PERIOD_MS: u64 = 1_200;
const LARGE: usize = 3_001;

fn report(number: usize, sequence: u64) -> IncarnationReport {
    IncarnationReport {
        life: UpstreamIncarnation {
            id: format!("upstream-{number}").parse().unwrap(),
            born: WallMillis(1),
            service: "service".parse().unwrap(),
            address: ([127, 0, 0, 1], 8000).into(),
            zone: "zone".parse().unwrap(),
            slots: 4,
            ready: true,
            software: SoftwareVersion::default(),
        },
        sequence,
        cold_left: None,
        versions: BTreeMap::from([("model".to_owned(), 7)]),
    }
}

fn leaders(name: &str) -> [Option<DaemonId>; 2] {
    [Some("store".parse().unwrap()), Some(name.parse().unwrap())]
}

/// Counts the forwarded reports of `upstreams` over `rounds` periods.
fn count(upstreams: usize, rounds: u64) -> usize {
    let mut forwards = ReportForwards::default();
    let leaders = leaders("control");
    let mut due = 0;
    for round in 0..rounds {
        let now = Millis(round * PERIOD_MS);
        for number in 0..upstreams {
            due += usize::from(forwards.is_due(now, &report(number, round), &leaders, upstreams));
        }
        forwards.expire(now);
    }
    due
}

#[test]
fn large_cells_filter() {
    let all = 3_001 * 100;
    let due = count(3_001, 100);
    assert!(due * 10 < all * 4, "{due} of {all}");
}

#[test]
fn small_cells_unchanged() {
    assert_eq!(count(MAX_UNFILTERED, 20), MAX_UNFILTERED * 20);
}

fn filtered() -> ReportForwards {
    let mut forwards = ReportForwards::default();
    for round in 0..2 {
        for number in 0..LARGE {
            forwards.is_due(
                Millis(round),
                &report(number, round),
                &leaders("control"),
                LARGE,
            );
        }
    }
    assert!(!forwards.is_due(Millis(2), &report(0, 2), &leaders("control"), LARGE));
    forwards
}

#[test]
fn news_sent_twice() {
    let mut forwards = filtered();
    let mut changed = report(0, 3);
    changed.versions.insert("model".to_owned(), 8);
    let mut due = |at| forwards.is_due(Millis(at), &changed, &leaders("control"), LARGE);
    assert_eq!([due(3), due(4), due(5)], [true, true, false]);
}

#[test]
fn new_leader_told() {
    let mut forwards = filtered();
    assert!(forwards.is_due(Millis(3), &report(0, 3), &leaders("other"), LARGE));
}

#[test]
fn unchanged_kept_alive() {
    let mut forwards = filtered();
    let at = Millis(1) + KEEP_ALIVE;
    assert!(forwards.is_due(at, &report(0, 3), &leaders("control"), LARGE));
}
