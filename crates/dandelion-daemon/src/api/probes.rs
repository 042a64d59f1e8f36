//! Probes for the load balancer and for monitoring.

use dandelion_net::http::server;
use dandelion_protocol::ids::Revision;
use http_types::Response;
use serde::Serialize;

use crate::core::Handle;

/// Body of an answer to a health or readiness probe.
#[derive(Debug, Serialize)]
struct Probe {
    ok: bool,
    daemon: String,
    zone: String,
    revision: u64,
    leased: bool,
    stopping: bool,
}

/// Answers whether the load balancer may send requests here: status 200, or 503 once the daemon is
/// stopping.
pub fn health(core: &Handle) -> Response {
    answer(core, !core.is_stopping())
}

/// Answers whether the daemon has received its configuration and is not stopping: status 200, or
/// 503 if not.
pub fn ready(core: &Handle) -> Response {
    let configured = core.control.revision() > Revision(0);
    answer(core, configured && !core.is_stopping())
}

/// Answers with the metrics in the text format of Prometheus.
pub fn metrics(core: &Handle) -> Response {
    let mut response = Response::new(200);
    response.set_body(core.metrics.render(core));
    response.insert_header("content-type", "text/plain; version=0.0.4");
    response
}

fn answer(core: &Handle, ok: bool) -> Response {
    let probe = Probe {
        ok,
        daemon: core.identity.daemon.to_string(),
        zone: core.identity.zone.to_string(),
        revision: core.control.revision().0,
        leased: core.control.is_leased(),
        stopping: core.is_stopping(),
    };
    server::json(if ok { 200 } else { 503 }, &probe)
}
