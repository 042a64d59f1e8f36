//! Guards against memory held by clients of several kinds at once.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_mixed_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::Mixed);
}

#[test]
fn crowd_mixed_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::Mixed);
}

#[test]
fn crowd_mixed_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::Mixed);
}

#[test]
fn crowd_mixed_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::Mixed);
}
