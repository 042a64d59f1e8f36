//! Random schedules of faults against the invariants.

mod support;

use std::ops::Range;

use support::group::Shape;
use support::schedule::run_schedule;

fn run_all(shape: Shape, seeds: Range<u64>) {
    let middle = u64::midpoint(seeds.start, seeds.end);
    std::thread::scope(|scope| {
        scope.spawn(|| run_part(shape, seeds.start..middle));
        run_part(shape, middle..seeds.end);
    });
}

fn run_part(shape: Shape, seeds: Range<u64>) {
    for seed in seeds {
        if let Err(failure) = run_schedule(shape, seed) {
            panic!("seed {seed} of {shape:?}: {failure}");
        }
    }
}

#[test]
fn three_voters() {
    run_all(Shape::of(3), 0..2500);
}

#[test]
fn three_again() {
    run_all(Shape::of(3), 2500..5000);
}

#[test]
fn four_voters() {
    run_all(Shape::of(4), 10_000..12_500);
}

#[test]
fn five_voters() {
    run_all(Shape::of(5), 20_000..22_500);
}

/// Voters that stay away are replaced by learners in the middle of other faults.
#[test]
fn spare_learners() {
    let shape = Shape {
        voters: 3,
        ..Shape::of(5)
    };
    run_all(shape, 30_000..31_000);
}
