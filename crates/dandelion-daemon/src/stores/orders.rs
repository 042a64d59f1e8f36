//! Orders to engines, sent only while this daemon is in charge of the batch jobs.

use std::time::Duration;
use std::time::Instant;

use dandelion_batch::scheduler::OrderOutcome;
use dandelion_net::http::client;
use dandelion_net::http::client::SendOptions;
use dandelion_platform::headers;
use dandelion_platform::orders;
use dandelion_platform::orders::VersionOrder;
use dandelion_protocol::ids::Term;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;

/// Longest time for one order.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// Lease that must be left when an order is sent; it covers the sending.
const ORDER_MARGIN: Millis = Millis(450);

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// A load to be ordered.
#[derive(Debug, Clone)]
pub struct Load {
    /// Engine.
    pub engine: UpstreamLife,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Whether the engine's runs go on under the new version.
    pub keep: bool,
}

/// Sends an order under `term`.
pub async fn order(core: &Handle, term: Term, load: &Load) -> OrderOutcome {
    let status = send(core, term, load).await;
    let outcome = match status {
        Some(202) => OrderOutcome::Accepted,
        Some(200) => OrderOutcome::Holds,
        Some(409) => OrderOutcome::Busy,
        Some(_) | None => OrderOutcome::Failed,
    };
    if outcome == OrderOutcome::Failed {
        event!(
            Event::LoadFailed,
            upstream = load.engine.id,
            version = load.version,
            term = term,
            status = status.unwrap_or(0)
        );
    } else {
        event!(
            Event::LoadOrdered,
            upstream = load.engine.id,
            model = load.model,
            version = load.version,
            term = term,
            outcome = format!("{outcome:?}")
        );
    }
    outcome
}

async fn send(core: &Handle, term: Term, load: &Load) -> Option<u16> {
    let body = orders::encode_version_order(&VersionOrder {
        model: &load.model,
        version: load.version,
        keep_running: load.keep,
        holder: core.identity.daemon.as_str(),
        term,
        accepted: None,
    });
    let headers = [
        headers::header("content-type", "application/json"),
        headers::header(headers::UPSTREAM, load.engine.id.as_str()),
    ];
    let address = load.engine.address;
    let request = client::request(address, "POST", orders::ORDER_PATH, &headers, body);
    let request = request.inspect_err(|cause| log::warn!("{cause}")).ok()?;
    let options = SendOptions {
        deadline: Instant::now() + ORDER_LIMIT,
        progress: ORDER_LIMIT,
        idempotent: false,
    };
    if core.stores.charge(ORDER_MARGIN) != Some(term) {
        event!(Event::OrderWithheld, path = orders::ORDER_PATH, term = term);
        return None;
    }
    let sent = core.gateway.client.send(address, request, &options).await;
    let mut exchange = sent
        .inspect_err(|error| log::debug!("order to {}: {error}", load.engine.id))
        .ok()?;
    let status = exchange.status();
    // The connection can be kept only if the answer was read to its end.
    let _read = exchange.read_all(MAX_ANSWER).await;
    Some(status)
}
