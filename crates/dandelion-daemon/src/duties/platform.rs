//! Requests to the platform. None is sent unless the lease covers the whole sending.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::http::client;
use dandelion_net::http::client::SendOptions;
use dandelion_platform::headers;
use dandelion_protocol::ids::Term;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;

/// Longest time that one sending may take.
pub const SEND_LIMIT: Duration = Duration::from_millis(400);

/// Lease that must be left when a sending begins.
pub const CHARGE_MARGIN: Millis = Millis(500);

/// Longest answer of the platform, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// An answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

/// Posts `body` under `term`; nothing is sent if the lease is too short, and nothing is known if
/// no whole answer comes.
pub async fn post(core: &Handle, term: Term, path: &str, body: Vec<u8>) -> Option<PlatformAnswer> {
    let address = core.settings.platform.address?;
    let built = build(core, address, term, path, body)?;
    let options = SendOptions {
        deadline: Instant::now() + SEND_LIMIT,
        progress: SEND_LIMIT,
        idempotent: true,
    };
    let charge = core.charge(CHARGE_MARGIN);
    if charge != Some(term) {
        event!(Event::OrderWithheld, path = path, term = term);
        return None;
    }
    let mut exchange = core.client.send(address, built, &options).await.ok()?;
    let status = exchange.status();
    let body = exchange.read_all(MAX_ANSWER).await.ok()?;
    Some(PlatformAnswer { status, body })
}

fn build(
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
