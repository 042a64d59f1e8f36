//! Guards against memory held by pipelined requests whose answers are not read.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_pipelined_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::Pipelined);
}

#[test]
fn crowd_pipelined_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::Pipelined);
}

#[test]
fn crowd_pipelined_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::Pipelined);
}

#[test]
fn crowd_pipelined_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::Pipelined);
}
