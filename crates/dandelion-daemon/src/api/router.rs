//! Routes requests by path to their handlers.

use std::net::SocketAddr;

use dandelion_net::http::server::Handler;
use dandelion_rpc::dispatch;
use http_types::Request;
use http_types::Response;

use crate::api::announce;
use crate::api::operators;
use crate::api::probes;
use crate::core::Handle;
use crate::rollouts;
use crate::serve;

/// Path to which upstreams post announcements.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Handler of the daemon's HTTP address.
#[derive(Debug, Clone)]
pub struct Api(Handle);

impl Api {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self(core)
    }
}

impl Handler for Api {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let core = &self.0;
        let path = request.url().path().to_owned();
        if dispatch::is_procedure(&path) {
            return operators::call(core, request).await;
        }
        match path.as_str() {
            "/healthz" => probes::health(core),
            "/readyz" => probes::ready(core),
            "/metrics" => probes::metrics(core),
            ANNOUNCE_PATH => announce::accept(core, request).await,
            _ if path.starts_with(rollouts::JOBS_PREFIX) => {
                rollouts::serve_trainer(core, request).await
            }
            _ => serve::serve_caller(core, request).await,
        }
    }
}
