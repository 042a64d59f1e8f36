//! Answers the readiness probes of the load balancer.

use std::net::SocketAddr;

use dandelion_net::http::server::Handler;
use dandelion_platform::calls::READY_PATH;
use http_types::Request;
use http_types::Response;

use crate::core::Handle;

/// HTTP handler that answers whether this daemon accepts new connections of callers.
#[derive(Debug, Clone)]
pub struct Ready(Handle);

impl Ready {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self(core)
    }

    fn status(&self) -> u16 {
        let core = &self.0;
        let has_plan = core.control.view().plan.is_some();
        if core.control.is_leased() && has_plan && !core.is_stopping() {
            200
        } else {
            503
        }
    }
}

impl Handler for Ready {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        if request.url().path() == READY_PATH {
            Response::new(self.status())
        } else {
            Response::new(404)
        }
    }
}
