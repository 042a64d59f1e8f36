//! Random schedules of faults, under which the invariants must hold.

mod support;

use std::ops::Range;

use support::group::GroupOptions;
use support::schedule::run_schedule;

fn run_all(options: GroupOptions, seeds: Range<u64>) {
    let middle = u64::midpoint(seeds.start, seeds.end);
    std::thread::scope(|scope| {
        scope.spawn(|| run_part(options, seeds.start..middle));
        run_part(options, middle..seeds.end);
    });
}

fn run_part(options: GroupOptions, seeds: Range<u64>) {
    for seed in seeds {
        if let Err(failure) = run_schedule(options, seed) {
            panic!("seed {seed} of {options:?}: {failure}");
        }
    }
}

#[test]
fn three_voters() {
    run_all(GroupOptions::of(3), 0..2500);
}

#[test]
fn three_voters_more() {
    run_all(GroupOptions::of(3), 2500..5000);
}

#[test]
fn four_voters() {
    run_all(GroupOptions::of(4), 10_000..12_500);
}

#[test]
fn five_voters() {
    run_all(GroupOptions::of(5), 20_000..22_500);
}

/// Unresponsive voters are replaced by learners while other faults occur.
#[test]
fn spare_learners() {
    let options = GroupOptions {
        voters: 3,
        ..GroupOptions::of(5)
    };
    run_all(options, 30_000..31_000);
}

/// Added daemons take over votes of unresponsive voters while other faults occur.
#[test]
fn added_learners() {
    let options = GroupOptions {
        voters: 3,
        added: 2,
        ..GroupOptions::of(5)
    };
    run_all(options, 40_000..42_000);
}
