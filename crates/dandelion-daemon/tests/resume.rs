//! Resuming an interrupted generation on another engine.

use dandelion_daemon::serve::Gap;
use dandelion_daemon::serve::TokenTracker;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::UpstreamKind;
use dandelion_protocol::usage::Class;
use serde_json::Value;

fn request(body: &str) -> ServeRequest {
    ServeRequest {
        id: RequestId(1),
        team: None,
        service: "draft".parse().expect("a valid name"),
        class: Class::Interactive,
        method: "POST".to_owned(),
        path: "/generate".to_owned(),
        headers: Vec::new(),
        body: body.as_bytes().to_vec(),
        timeout: Millis::from_secs(1),
        idempotent: true,
    }
}

fn tracker() -> TokenTracker {
    let request = request(r#"{"prompt":"p","max_tokens":4}"#);
    TokenTracker::open(UpstreamKind::Engine, &request).expect("a request for tokens")
}

const FIRST: &[u8] =
    b"data: {\"token\":\"a \",\"index\":0}\n\ndata: {\"token\":\"b \",\"index\":1}\n\nda";

#[test]
fn resumes_generation() {
    let mut tracker = tracker();
    let forwarded = tracker.read(FIRST.to_vec()).expect("no gap");
    assert_eq!(forwarded.len(), FIRST.len() - 2);
    assert!(tracker.can_resume(Ran::Unknown));
    assert!(!tracker.is_complete());
    let mut next = request("");
    tracker.resume(&mut next);
    let resumed: Value = serde_json::from_slice(&next.body).expect("JSON");
    assert_eq!(resumed["resume_from"], 2);
    assert_eq!(resumed["resume_text"], "a b ");
    let rest = b"data: {\"token\":\"c\",\"index\":2}\n\ndata: {\"done\":true}\n\n";
    assert_eq!(tracker.read(rest.to_vec()), Ok(rest.to_vec()));
    assert!(tracker.is_complete());
    assert!(!tracker.can_resume(Ran::Unknown));
}

#[test]
fn refuses_gaps() {
    for index in [0, 1, 3] {
        let mut tracker = tracker();
        tracker.read(FIRST.to_vec()).expect("no gap");
        let mut next = request("");
        tracker.resume(&mut next);
        let token = format!("data: {{\"token\":\"x\",\"index\":{index}}}\n\n");
        assert_eq!(tracker.read(token.into_bytes()), Err(Gap));
    }
}

#[test]
fn ignores_other_requests() {
    let plain = TokenTracker::open(
        UpstreamKind::Plain,
        &request(r#"{"prompt":"p","max_tokens":4}"#),
    );
    assert!(plain.is_none());
    let other = TokenTracker::open(UpstreamKind::Engine, &request("{}"));
    assert!(other.is_none());
}
