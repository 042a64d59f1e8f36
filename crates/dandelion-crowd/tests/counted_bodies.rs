//! Guards against memory held by counted bodies that stop one byte short of their end.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_counted_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::Counted);
}

#[test]
fn crowd_counted_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::Counted);
}

#[test]
fn crowd_counted_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::Counted);
}

#[test]
fn crowd_counted_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::Counted);
}
