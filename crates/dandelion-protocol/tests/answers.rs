//! Answers to proposals survive the encoding, whatever their request ids.

use dandelion_protocol::codec;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::ReplyBody;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const CASES: u64 = 500;
const SIZE: usize = 64;

fn survives(reply: &ReplyBody) -> bool {
    let bytes = codec::encode(reply).expect("an answer has an encoding");
    codec::decode::<ReplyBody>(&bytes).is_ok_and(|decoded| decoded == *reply)
}

fn refused(revision: u64, rejection: Rejection) -> ReplyBody {
    ReplyBody::Proposed(Ok(Answer {
        revision: Revision(revision),
        result: Err(rejection),
    }))
}

fn conflict_survives(revision: u64, winner: String, request: u128) -> bool {
    let rejection = Rejection::Conflict {
        revision: Revision(revision),
        winner,
        request: RequestId(request),
    };
    survives(&refused(revision, rejection))
}

fn reuse_survives(revision: u64, winner: String, request: u128) -> bool {
    let rejection = Rejection::IdReused {
        request: RequestId(request),
        winner,
        revision: Revision(revision),
    };
    survives(&refused(revision, rejection))
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, 1))
}

#[test]
fn conflict_answer() {
    check().quickcheck(conflict_survives as fn(u64, String, u128) -> bool);
}

#[test]
fn reused_id() {
    check().quickcheck(reuse_survives as fn(u64, String, u128) -> bool);
}

#[test]
fn invalid_change() {
    let rejection = Rejection::invalid("weight", "it is out of range", "use 1 to 1000");
    assert!(survives(&refused(1, rejection)));
}
