//! Orders to engines, sent only while this daemon leads the store group.

use dandelion_batch::scheduler::OrderOutcome;
use dandelion_net::http::client;
use dandelion_net::http::client::Cause;
use dandelion_platform::headers;
use dandelion_platform::orders;
use dandelion_platform::orders::VersionOrder;
use dandelion_protocol::ids::Term;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::fenced;
use crate::fenced::LEASE_MARGIN;
use crate::gateway::observe_leaving;

/// Longest answer to an order that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// An order that an engine load a version of a model's weights.
#[derive(Debug, Clone)]
pub struct LoadOrder {
    /// Engine that is to load the version.
    pub engine: UpstreamIncarnation,
    /// Model whose weights are loaded.
    pub model: String,
    /// Version of the weights to load.
    pub version: u64,
    /// Whether the engine's runs continue under the new version; otherwise they finish first.
    pub keep_running: bool,
}

/// Sends an order that is fenced by `term`, and logs its outcome.
pub async fn send_order(core: &Handle, term: Term, load: &LoadOrder) -> OrderOutcome {
    let status = post(core, term, load).await;
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

async fn post(core: &Handle, term: Term, load: &LoadOrder) -> Option<u16> {
    let body = orders::encode_version_order(&VersionOrder {
        model: &load.model,
        version: load.version,
        keep_running: load.keep_running,
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
    let may_act = || {
        if core.control.view().is_evacuated(&load.engine.zone) {
            return false;
        }
        let held = core.stores.leader_term(LEASE_MARGIN);
        core.stores.duty.begin_act(held, term)
    };
    let client = &core.gateway.client;
    let sent = fenced::send(client, address, request, false, may_act).await;
    let mut exchange = sent
        .inspect_err(|error| match error.cause() {
            Cause::Withheld => {
                event!(Event::OrderWithheld, path = orders::ORDER_PATH, term = term);
            }
            cause => log::debug!("order to {}: {cause}", load.engine.id),
        })
        .ok()?;
    observe_leaving(core, &load.engine, &exchange, orders::ORDER_PATH);
    let status = exchange.status();
    // The connection can be reused only if the answer was read to its end.
    let _read = exchange.read_all(MAX_ANSWER_BYTES).await;
    Some(status)
}
