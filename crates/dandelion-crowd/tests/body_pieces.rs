//! Guards against memory held by bodies that arrive piece by piece and never end.

use dandelion_crowd::Crowd;
use dandelion_crowd::Target;
use dandelion_crowd::assert_bounded;

const DAEMON: &str = env!("CARGO_BIN_EXE_crowd-daemon");

#[test]
fn crowd_pieces_own() {
    assert_bounded(DAEMON, Target::Own, Crowd::Pieces);
}

#[test]
fn crowd_pieces_front() {
    assert_bounded(DAEMON, Target::Front, Crowd::Pieces);
}

#[test]
fn crowd_pieces_control() {
    assert_bounded(DAEMON, Target::Control, Crowd::Pieces);
}

#[test]
fn crowd_pieces_store() {
    assert_bounded(DAEMON, Target::Store, Crowd::Pieces);
}
