//! Drains an upstream: it gets no new requests.

use clap::Args;
use dandelion_rpc::generated::DrainUpstreamRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Drains an upstream: it gets no new requests.
#[derive(Debug, Args)]
pub struct Drain {
    /// Name of the upstream
    pub upstream: String,
    /// Boot of the upstream to drain; the announced one if absent
    #[arg(long)]
    pub boot: Option<u64>,
}

impl Run for Drain {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = DrainUpstreamRequest {
            change: session.change()?,
            upstream: self.upstream.clone(),
            boot: self.boot,
        };
        let answer = session.client().drain_upstream(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
