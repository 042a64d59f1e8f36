//! Guards against memory held by chunked bodies that stop one byte short of their end.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_chunked_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::Chunked);
}

#[test]
fn crowd_chunked_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::Chunked);
}

#[test]
fn crowd_chunked_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::Chunked);
}

#[test]
fn crowd_chunked_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::Chunked);
}
