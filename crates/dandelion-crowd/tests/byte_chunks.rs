//! Guards against memory held by bodies in chunks of one byte that stop short of their end.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_byte_chunks_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::ByteChunks);
}

#[test]
fn crowd_byte_chunks_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::ByteChunks);
}

#[test]
fn crowd_byte_chunks_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::ByteChunks);
}

#[test]
fn crowd_byte_chunks_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::ByteChunks);
}
