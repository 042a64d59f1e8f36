//! Requests to the platform. Each is sent only if the leader lease covers its whole duration.

use std::net::SocketAddr;

use dandelion_net::http::client;
use dandelion_net::http::client::Cause;
use dandelion_platform::headers;
use dandelion_protocol::ids::Term;
use dandelion_protocol::mesh::Header;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::fenced;
use crate::fenced::LEASE_MARGIN;

/// Longest answer of the platform, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// A complete answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body, at most 64 KiB.
    pub body: Vec<u8>,
}

/// Posts `body` as the leader of `term`. Returns none if the request was not sent, because the
/// lease is too short or of another term, or if no complete answer came.
pub async fn post(core: &Handle, term: Term, path: &str, body: Vec<u8>) -> Option<PlatformAnswer> {
    let address = core.settings.platform.address?;
    let request = build_request(core, address, term, path, body)?;
    let may_act = || core.duty.begin_act(core.leader_term(LEASE_MARGIN), term);
    let sent = fenced::send(&core.client, address, request, true, may_act).await;
    let mut exchange = sent
        .inspect_err(|error| match error.cause() {
            Cause::Withheld => event!(Event::OrderWithheld, path = path, term = term),
            cause => log::debug!("call {path} of the platform: {cause}"),
        })
        .ok()?;
    let status = exchange.status();
    let body = exchange.read_all(MAX_ANSWER_BYTES).await.ok()?;
    Some(PlatformAnswer { status, body })
}

fn build_request(
    core: &Handle,
    address: SocketAddr,
    term: Term,
    path: &str,
    body: Vec<u8>,
) -> Option<http_types::Request> {
    let holder = core.identity.daemon.as_str();
    let headers = if core.settings.gateway.is_used() {
        headers::duty(holder, term)
    } else {
        [
            header("content-type", "application/json"),
            header("x-issuer", holder),
            header("x-fencing", &term.to_string()),
        ]
    };
    client::request(address, "POST", path, &headers, body).ok()
}

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}
