//! Answers to proposals are unchanged by encoding and decoding, whatever their request ids.

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

fn is_unchanged(reply: &ReplyBody) -> bool {
    let bytes = codec::encode(reply).expect("an answer has an encoding");
    codec::decode::<ReplyBody>(&bytes).is_ok_and(|decoded| decoded == *reply)
}

fn rejected(revision: u64, rejection: Rejection) -> ReplyBody {
    ReplyBody::Proposed(Ok(Answer {
        revision: Revision(revision),
        result: Err(rejection),
    }))
}

fn conflict_unchanged(revision: u64, winner: String, request: u128) -> bool {
    let rejection = Rejection::Conflict {
        revision: Revision(revision),
        winner,
        request: RequestId(request),
    };
    is_unchanged(&rejected(revision, rejection))
}

fn reuse_unchanged(revision: u64, winner: String, request: u128) -> bool {
    let rejection = Rejection::IdReused {
        request: RequestId(request),
        winner,
        revision: Revision(revision),
    };
    is_unchanged(&rejected(revision, rejection))
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, 1))
}

#[test]
fn conflict_answer() {
    check().quickcheck(conflict_unchanged as fn(u64, String, u128) -> bool);
}

#[test]
fn reused_id() {
    check().quickcheck(reuse_unchanged as fn(u64, String, u128) -> bool);
}

#[test]
fn invalid_change() {
    let rejection = Rejection::invalid("weight", "it is out of range", "use 1 to 1000");
    assert!(is_unchanged(&rejected(1, rejection)));
}
