//! Cost of one procedure call without the network.

use std::hint::black_box;

use criterion::Criterion;
use dandelion_rpc::BodyCodec;
use dandelion_rpc::dispatch;
use dandelion_rpc::generated::Change;
use dandelion_rpc::generated::PutTeamRequest;
use dandelion_rpc::generated::Team;
use futures::executor::block_on;

#[path = "../tests/server/mod.rs"]
mod server;

use server::Echo;

const PATH: &str = "/dandelion.v1.Operator/PutTeam";

fn request() -> PutTeamRequest {
    PutTeamRequest {
        change: Some(Change {
            request_id: "0123456789abcdef0123456789abcdef".to_owned(),
            operator: "anna".to_owned(),
            expected_revision: Some(7),
        }),
        team: Some(Team {
            id: "claims".to_owned(),
            weight: 2,
            max_inflight: Some(64),
            token_rate: Some(100_000),
        }),
    }
}

fn put_team(criterion: &mut Criterion) {
    for codec in [BodyCodec::Json, BodyCodec::Proto] {
        let body = codec.encode(&request()).expect("encodes");
        let kind = codec.content_type();
        criterion.bench_function(&format!("put_team {kind}"), |bencher| {
            bencher.iter(|| {
                let response = block_on(dispatch(&Echo, PATH, kind, black_box(&body)));
                assert_eq!(response.status, 200);
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    put_team(&mut criterion);
    criterion.final_summary();
}
