//! Tests that answers to trainers have the documented bodies and that their requests decode.

use std::sync::Arc;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::PullRequest;
use dandelion_protocol::rollout::VoidBatch;
use dandelion_protocol::rollout::VoidReason;
use dandelion_protocol::time::Millis;
use dandelion_rollout::coordinator::Answer;
use serde_json::json;

fn batch() -> Batch {
    Batch {
        cursor: 4,
        next: 5,
        digest: u64::MAX,
        groups: Vec::new(),
        dropped: vec![9],
    }
}

#[test]
fn documented_bodies() {
    let void = VoidBatch {
        cursor: 4,
        next: 5,
        reason: VoidReason::PayloadLost,
        samples: 64,
    };
    let refusal = Refusal::not_run(RefusalCode::Conflict, "held", "wait");
    let cases = [
        (Answer::Batch(Arc::new(batch())), 200, json!(batch())),
        (
            Answer::Void(void),
            410,
            json!({"void": {"cursor": 4, "next": 5, "reason": "payload_lost", "samples": 64}}),
        ),
        (
            Answer::Pending(Millis(250)),
            202,
            json!({"retry_after": 250}),
        ),
        (Answer::Fed(7), 200, json!({"fed": 7})),
        (
            Answer::Published(WeightVersion(3)),
            200,
            json!({"version": 3}),
        ),
        (
            Answer::Renewed(Millis(60_000)),
            200,
            json!({"lease": 60_000}),
        ),
        (
            Answer::FeedAgain { first: 1, count: 2 },
            409,
            json!({"feed_again": {"first": 1, "count": 2}}),
        ),
        (
            Answer::Refused(refusal.clone()),
            409,
            json!({ "error": refusal }),
        ),
    ];
    for (answer, status, body) in cases {
        assert_eq!((answer.status(), json!(answer)), (status, body));
    }
}

#[test]
fn short_pull() {
    let pull: PullRequest = serde_json::from_str(r#"{"trainer":"t-1","cursor":0}"#).unwrap();
    assert_eq!(
        (pull.held, pull.skipped, pull.wait),
        (None, false, Millis(0))
    );
}
