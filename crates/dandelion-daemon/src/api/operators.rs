//! Operators' procedures over HTTP.

use std::time::Duration;

use dandelion_net::http::SharedBody;
use dandelion_net::http::server;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::RpcResponse;
use dandelion_rpc::dispatch::dispatch;
use dandelion_rpc::token::check_token;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::AUTHORIZATION;
use http_types::headers::CONTENT_TYPE;

use crate::core::Handle;
use crate::operator::OperatorServer;
use crate::settings::Secret;

/// Procedures on state that only control daemons hold; they are forwarded to the leader.
const LEADER_PROCEDURES: [&str; 11] = [
    "ControlStatus",
    "AddVoter",
    "RemoveVoter",
    "ReplaceVoter",
    "ExportSnapshot",
    "FleetPlan",
    "FleetPause",
    "FleetLimits",
    "UsageShow",
    "UsageExplain",
    "Status",
];

/// Longest wait for the leader's reply.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers a procedure call, here or through the control leader.
pub async fn call(core: &Handle, mut request: Request) -> Response {
    if let Err(error) = check_operator(core, &request) {
        event!(Event::OperatorRefused);
        return respond(RpcResponse::refused(&error));
    }
    let path = request.url().path().to_owned();
    let content_type = request.header(CONTENT_TYPE).map(|v| v.as_str().to_owned());
    let content_type = content_type.unwrap_or_default();
    match SharedBody::take(&mut request).await {
        Ok(body) => answer(core, &path, &content_type, body.into_bytes()).await,
        Err(error) => server::refusal(&Refusal::not_run(
            RefusalCode::BadRequest,
            &format!("the request's body could not be read: {error}"),
            "send it again",
        )),
    }
}

async fn answer(core: &Handle, path: &str, content_type: &str, body: Vec<u8>) -> Response {
    let for_leader = LEADER_PROCEDURES.iter().any(|name| path.ends_with(name));
    let leader = core.control.leader();
    let leader = leader.filter(|l| for_leader && l != &core.identity.daemon);
    if let (Some(leader), Some(mesh)) = (leader, core.mesh()) {
        let call = CallBody::Forward {
            path: path.to_owned(),
            content_type: content_type.to_owned(),
            body: body.clone(),
        };
        let reply = mesh.call(&leader, call, FORWARD_TIMEOUT).await;
        if let Ok(ReplyBody::Forwarded {
            status,
            content_type,
            body,
        }) = reply
        {
            return new_response(status, &content_type, body);
        }
        if is_change(path) {
            return respond(RpcResponse::refused(&leader_lost()));
        }
    }
    let server = OperatorServer::new(core.clone());
    respond(dispatch(&server, path, content_type, &body).await)
}

/// Returns whether a procedure for the leader changes state; it is then not run here when the
/// leader's reply is lost.
fn is_change(path: &str) -> bool {
    const READS: [&str; 6] = [
        "ControlStatus",
        "ExportSnapshot",
        "FleetPlan",
        "UsageShow",
        "UsageExplain",
        "Status",
    ];
    !READS.iter().any(|name| path.ends_with(name))
}

fn leader_lost() -> RpcError {
    RpcError::new(
        ErrorCode::Unknown,
        "the control leader was lost before it answered",
        "send it again with the same request id",
    )
}

fn check_operator(core: &Handle, request: &Request) -> Result<(), RpcError> {
    let token = core.settings.secrets.operator.as_ref();
    let header = request.header(AUTHORIZATION).map(|v| v.as_str());
    check_token(header, token.map(Secret::reveal))
}

fn respond(answer: RpcResponse) -> Response {
    new_response(answer.status, answer.content_type, answer.body)
}

fn new_response(status: u16, content_type: &str, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header(CONTENT_TYPE, content_type);
    response
}
