//! Probes of the balancer and of the monitoring.

use dandelion_net::http::server;
use dandelion_protocol::ids::Revision;
use http_types::Response;
use serde::Serialize;

use crate::core::Handle;

#[derive(Debug, Serialize)]
struct Probe {
    ok: bool,
    daemon: String,
    zone: String,
    revision: u64,
    leased: bool,
    stopping: bool,
}

/// Answers whether the balancer may send requests here.
pub fn health(core: &Handle) -> Response {
    answer(core, !core.is_stopping())
}

/// Answers whether the daemon has its configuration and is not stopping.
pub fn ready(core: &Handle) -> Response {
    let begun = core.control.revision() > Revision(0);
    answer(core, begun && !core.is_stopping())
}

/// Answers the metrics in the text form of Prometheus.
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
