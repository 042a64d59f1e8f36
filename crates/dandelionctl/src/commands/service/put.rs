//! Creates or replaces a service.

use clap::Args;
use dandelion_rpc::generated::PutServiceRequest;
use dandelion_rpc::generated::Service;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Creates or replaces a service.
#[derive(Debug, Args)]
pub struct Put {
    /// Name of the service
    pub service: String,
    /// Kind of its upstreams: engine or plain
    #[arg(long)]
    pub kind: String,
    /// Also serve callers without a key
    #[arg(long)]
    pub open: bool,
    /// Requests are idempotent: each may run more than once
    #[arg(long)]
    pub idempotent: bool,
    /// Time limit of a request including its retries, in milliseconds
    #[arg(long, default_value = "60000")]
    pub timeout: u64,
    /// Least number of upstreams in each zone
    #[arg(long, default_value = "0")]
    pub floor: u32,
    /// Greatest number of upstreams in each zone; 0 excludes the service from upstream orders
    #[arg(long, default_value = "0")]
    pub ceiling: u32,
}

impl Run for Put {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = PutServiceRequest {
            change: session.change()?,
            service: Some(Service {
                id: self.service.clone(),
                kind: self.kind.clone(),
                open: self.open,
                idempotent: self.idempotent,
                timeout_ms: self.timeout,
                floor: self.floor,
                ceiling: self.ceiling,
            }),
        };
        let answer = session.client().put_service(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
