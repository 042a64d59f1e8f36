//! Dispatch of HTTP requests to procedures.

use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::RpcResponse;
use dandelion_rpc::dispatch;
use dandelion_rpc::generated;
use futures::executor::block_on;
use quickcheck::Gen;
use quickcheck::QuickCheck;

mod server;

use server::Echo;

const PUT_TEAM: &str = "/dandelion.v1.Operator/PutTeam";

fn post(path: &str, content_type: &str, body: &[u8]) -> RpcResponse {
    block_on(dispatch(&Echo, path, content_type, body))
}

fn error_of(response: &RpcResponse) -> RpcError {
    assert_eq!(response.content_type, "application/json");
    serde_json::from_slice(&response.body).expect("errors are JSON")
}

#[test]
fn json_call() {
    let body = br#"{"change":{"request_id":"2a","operator":"anna"},"team":{"id":"a","weight":7}}"#;
    let response = post(PUT_TEAM, "application/json; charset=utf-8", body);
    assert_eq!(response.status, 200);
    let answer: generated::ChangeAnswer = serde_json::from_slice(&response.body).expect("answer");
    assert_eq!(answer.revision, 7);
}

#[test]
fn unknown_method() {
    let response = post("/dandelion.v1.Operator/Reboot", "application/json", b"{}");
    assert_eq!(response.status, 404);
    let error = error_of(&response);
    assert_eq!(error.code, ErrorCode::UnknownMethod);
    assert!(error.message.contains("Reboot"));
    assert!(!error.remedy.is_empty());
}

#[test]
fn foreign_path() {
    let error = error_of(&post(
        "/dandelion.v2.Operator/PutTeam",
        "application/json",
        b"{}",
    ));
    assert_eq!(error.code, ErrorCode::UnknownMethod);
}

#[test]
fn bad_bodies() {
    for (content_type, body) in [
        ("application/json", &b"{"[..]),
        ("application/json", b""),
        ("application/json", br#"{"taem":{}}"#),
        ("application/json", br#"{"team":{"weight":-1}}"#),
        ("application/proto", b"\x0a\xff"),
        ("text/plain", b"{}"),
    ] {
        let response = post(PUT_TEAM, content_type, body);
        assert_eq!(response.status, 400, "{content_type} {body:?}");
        assert_eq!(error_of(&response).code, ErrorCode::InvalidArgument);
    }
}

#[test]
fn misspelt_field() {
    let body = br#"{"change":{"request_id":"2a","operator":"anna"},"team":{"id":"a","wieght":7}}"#;
    let response = post(PUT_TEAM, "application/json", body);
    assert_eq!(response.status, 400);
    assert!(error_of(&response).message.contains("wieght"));
}

#[test]
fn missing_parts() {
    let response = post(PUT_TEAM, "application/json", b"{}");
    assert!(error_of(&response).message.contains("change"));
    let body = br#"{"change":{"request_id":"0","operator":"anna"}}"#;
    let response = post(PUT_TEAM, "application/json", body);
    assert!(error_of(&response).message.contains("request_id"));
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn garbage_gets_answer(body: Vec<u8>) -> bool {
    generated::METHODS.iter().all(|method| {
        let path = format!("{}{method}", generated::PREFIX);
        ["application/json", "application/proto"]
            .iter()
            .all(|kind| {
                let response = post(&path, kind, &body);
                response.status == 200 || serde_json::from_slice::<RpcError>(&response.body).is_ok()
            })
    })
}

#[test]
fn garbage_bodies() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(2_000)
        .quickcheck(garbage_gets_answer as fn(Vec<u8>) -> bool);
}

fn truncated_is_refused(weight: u32, rate: Option<u64>, length: usize) -> bool {
    let request = generated::PutTeamRequest {
        change: Some(generated::Change {
            request_id: "1".to_owned(),
            operator: "anna".to_owned(),
            expected_revision: rate,
        }),
        team: Some(generated::Team {
            id: "team".to_owned(),
            weight,
            max_inflight: None,
            token_rate: rate,
        }),
    };
    let complete = serde_json::to_vec(&request).expect("JSON");
    let length = length % complete.len();
    let truncated = post(PUT_TEAM, "application/json", &complete[..length]);
    let sent = post(PUT_TEAM, "application/json", &complete);
    truncated.status == 400 && sent.status == 200
}

#[test]
fn truncated_bodies() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 4))
        .tests(2_000)
        .quickcheck(truncated_is_refused as fn(u32, Option<u64>, usize) -> bool);
}
