//! Tests that tokens are attributed only from what engines report.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::rollout::Segment;
use dandelion_rollout::attribution::Discard;
use dandelion_rollout::attribution::Prefix;
use dandelion_rollout::attribution::SegmentBuilder;
use dandelion_rollout::attribution::SegmentReport;

const NEWEST: WeightVersion = WeightVersion(9);

fn report(boot: u64, range: (u32, u32), versions: (u64, u64), swap: Option<u32>) -> SegmentReport {
    SegmentReport {
        boot: Incarnation(boot),
        start: range.0,
        end: range.1,
        first: Some(WeightVersion(versions.0)),
        last: Some(WeightVersion(versions.1)),
        swap_at: swap,
        text: "x".repeat((range.1 - range.0) as usize),
        software: SoftwareVersion("s1".to_owned()),
    }
}

/// Returns what a builder says to a report of these tokens by this software, after ten of `s1`.
fn continued_by(attempt: u64, software: &str) -> Result<(), Discard> {
    let mut builder = fresh();
    builder.add(&report(1, (0, 10), (4, 4), None), NEWEST)?;
    let mut next = SegmentBuilder::resume(builder.into_prefix(), attempt);
    let other = SegmentReport {
        software: SoftwareVersion(software.to_owned()),
        ..report(2, (10, 20), (4, 4), None)
    };
    next.add(&other, NEWEST)
}

#[test]
fn continued_by_other_software() {
    assert_eq!(continued_by(2, "s1"), Ok(()));
    assert_eq!(continued_by(2, "s2"), Err(Discard::OtherSoftware));
    assert_eq!(continued_by(2, ""), Err(Discard::OtherSoftware));
}

fn segment(version: u64, start: u32, end: u32) -> Segment {
    Segment {
        version: WeightVersion(version),
        start,
        end,
    }
}

fn fresh() -> SegmentBuilder {
    SegmentBuilder::resume(Prefix::default(), 1)
}

#[test]
fn known_boundary() {
    let mut builder = fresh();
    builder
        .add(&report(1, (0, 10), (4, 4), None), NEWEST)
        .unwrap();
    builder
        .add(&report(1, (10, 20), (4, 5), Some(13)), NEWEST)
        .unwrap();
    let prefix = builder.into_prefix();
    assert_eq!(prefix.segments, [segment(4, 0, 13), segment(5, 13, 20)]);
    assert_eq!(prefix.text.len(), 20);
}

#[test]
fn unknown_boundary() {
    let mut builder = fresh();
    builder
        .add(&report(1, (0, 10), (4, 4), None), NEWEST)
        .unwrap();
    let swapped = builder.add(&report(1, (10, 20), (4, 5), None), NEWEST);
    assert_eq!(swapped, Err(Discard::UnknownBoundary));
    assert_eq!(builder.prefix().segments, [segment(4, 0, 10)]);
    assert_eq!(builder.prefix().text.len(), 10);
}

#[test]
fn failed_swap() {
    // The swap to 5 was acknowledged, but the engine still reports 4.
    let mut builder = fresh();
    builder
        .add(&report(1, (0, 10), (4, 4), None), NEWEST)
        .unwrap();
    builder
        .add(&report(1, (10, 30), (4, 4), None), NEWEST)
        .unwrap();
    assert_eq!(builder.into_prefix().segments, [segment(4, 0, 30)]);
}

#[test]
fn restarted_engine() {
    let mut builder = fresh();
    builder
        .add(&report(1, (0, 10), (4, 4), None), NEWEST)
        .unwrap();
    let restarted = builder.add(&report(2, (10, 20), (4, 4), None), NEWEST);
    assert_eq!(restarted, Err(Discard::Restarted));
}

#[test]
fn resumed_elsewhere() {
    let mut builder = fresh();
    builder
        .add(&report(1, (0, 10), (4, 4), None), NEWEST)
        .unwrap();
    let mut other = SegmentBuilder::resume(builder.into_prefix(), 2);
    other
        .add(&report(7, (10, 15), (6, 6), None), NEWEST)
        .unwrap();
    let prefix = other.into_prefix();
    assert_eq!(prefix.segments, [segment(4, 0, 10), segment(6, 10, 15)]);
    assert_eq!(prefix.attempts, [1, 2]);
    assert_eq!(prefix.oldest(), Some(WeightVersion(4)));
}

#[test]
fn broken_reports() {
    let mut builder = fresh();
    let gap = builder.add(&report(1, (3, 10), (4, 4), None), NEWEST);
    assert_eq!(gap, Err(Discard::Gap));
    let future = builder.add(&report(1, (0, 10), (10, 10), None), NEWEST);
    assert_eq!(future, Err(Discard::Unpublished));
    let mut unversioned = report(1, (0, 10), (4, 4), None);
    unversioned.last = None;
    assert_eq!(builder.add(&unversioned, NEWEST), Err(Discard::NoVersion));
    assert_eq!(builder.prefix().tokens(), 0);
}
