//! The bounded trace of decisions.

use dandelion_protocol::ids::RequestId;
use dandelion_protocol::time::Millis;
use dandelion_route::outcome::AttemptOutcome;
use dandelion_route::trace::Decision;
use dandelion_route::trace::TraceRing;

#[test]
fn newest_retained() {
    let mut ring = TraceRing::open(10);
    for n in 0..100 {
        let waiting = n as u32;
        ring.record(
            Millis(n),
            RequestId(u128::from(n / 4)),
            Decision::Queued { waiting },
        );
    }
    let ended = Decision::Ended {
        outcome: AttemptOutcome::Answered,
    };
    ring.record(Millis(100), RequestId(24), ended.clone());
    assert_eq!(ring.len(), 10);
    let known: Vec<u64> = ring.explain(RequestId(24)).iter().map(|e| e.at.0).collect();
    assert_eq!(known, [96, 97, 98, 99, 100]);
    assert_eq!(ring.explain(RequestId(24))[4].decision, ended);
    assert_eq!(ring.explain(RequestId(22)).len(), 1);
    assert!(ring.explain(RequestId(3)).is_empty());
}
