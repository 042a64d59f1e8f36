//! Each invariant notices when the rule that keeps it is left out.

mod support;

use dandelion_control::raft::Fault;
use support::group::Shape;
use support::network::Weather;
use support::schedule::run_schedule;

/// Schedules within which a mutation must be noticed.
const SEEDS: u64 = 1000;

fn first_failure(shape: Shape) -> String {
    let failure = (0..SEEDS).find_map(|seed| run_schedule(shape, seed).err());
    failure.unwrap_or_else(|| panic!("nothing was noticed in {SEEDS} schedules of {shape:?}"))
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
    println!("{}", first_failure(shape));
}

#[test]
fn skipped_promise() {
    println!("{}", first_failure(mutated(Fault::SkipPromise)));
}

#[test]
fn double_vote() {
    println!("{}", first_failure(mutated(Fault::DoubleVote)));
}

#[test]
fn ignored_log() {
    println!("{}", first_failure(mutated(Fault::IgnoreLog)));
}

#[test]
fn ignored_term() {
    let weather = Weather {
        loss: 0.1,
        double: 0.1,
        slow: 0.3,
    };
    let shape = Shape {
        weather: Some(weather),
        ..mutated(Fault::IgnoreTerm)
    };
    println!("{}", first_failure(shape));
}
