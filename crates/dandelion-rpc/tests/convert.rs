//! Conversion of messages and errors, and the handling of secrets.

use dandelion_protocol::config;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::change::format_request_id;
use dandelion_rpc::convert;
use dandelion_rpc::generated::GrantKeyRequest;
use dandelion_rpc::generated::Job;
use dandelion_rpc::generated::Key;
use dandelion_rpc::generated::Service;
use dandelion_rpc::secret;
use quickcheck::Gen;
use quickcheck::QuickCheck;

fn job_is_unchanged(size: u32, staleness: u64, budget: u64, scored: bool, ended: bool) -> bool {
    let job = Job {
        id: "draft".to_owned(),
        team: "claims".to_owned(),
        service: "model".to_owned(),
        group_size: size,
        step_groups: size / 2,
        max_staleness: staleness,
        token_budget: budget,
        max_tokens: size,
        scorer: scored.then(|| "scorer".to_owned()),
        ended,
    };
    let typed = config::Job::try_from(&job).expect("valid");
    Job::from(&typed) == job
}

#[test]
fn job_round_trip() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(500)
        .quickcheck(job_is_unchanged as fn(u32, u64, u64, bool, bool) -> bool);
}

#[test]
fn bad_kind() {
    let service = Service {
        id: "portal".to_owned(),
        kind: "lathe".to_owned(),
        ..Service::default()
    };
    let error = config::Service::try_from(&service).expect_err("no such kind");
    assert_eq!(error.code, ErrorCode::InvalidArgument);
    assert!(error.message.contains("lathe"));
}

#[test]
fn bad_names() {
    let error = convert::parse_name::<dandelion_protocol::ids::TeamId>("team.id", "Big Team");
    let error = error.expect_err("not a name");
    assert!(error.message.contains("team.id"));
    assert!(error.message.contains("Big Team"));
}

#[test]
fn secret_digest() {
    let text = secret::format_secret(&[7; secret::SECRET_BYTES]);
    let digest = secret::digest_secret(&text);
    let request = GrantKeyRequest {
        key: Some(Key {
            id: "night".to_owned(),
            team: "claims".to_owned(),
            ..Key::default()
        }),
        secret_digest: hex::encode(digest),
        ..GrantKeyRequest::default()
    };
    let sent = convert::sent_digest(&request)
        .expect("valid")
        .expect("present");
    let key = convert::key_from_grant(&request, sent).expect("valid");
    assert_eq!(key.digest, digest);
    assert_ne!(secret::digest_secret("other"), digest);
}

#[test]
fn secret_hidden() {
    let answer = dandelion_rpc::generated::GrantKeyAnswer {
        secret: "s3cr3t".to_owned(),
        ..Default::default()
    };
    assert!(!format!("{answer:?}").contains("s3cr3t"));
}

#[test]
fn winner_named() {
    let request = RequestId(0x77);
    let winner = "berta".to_owned();
    let revision = Revision(9);
    let conflict = Rejection::Conflict {
        revision,
        winner: winner.clone(),
        request,
    };
    let reused = Rejection::IdReused {
        request,
        winner,
        revision,
    };
    let codes = [ErrorCode::Conflict, ErrorCode::IdReused];
    for (rejection, code) in [conflict, reused].into_iter().zip(codes) {
        let error = RpcError::from(rejection);
        assert_eq!(error.code, code);
        let shown = format_request_id(request);
        for part in ["berta", "revision 9", &shown] {
            assert!(error.message.contains(part), "{part} in {error}");
        }
    }
}
