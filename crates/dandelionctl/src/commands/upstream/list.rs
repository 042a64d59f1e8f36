//! Lists the upstreams that the answering daemon knows.

use clap::Args;
use dandelion_rpc::generated::ListUpstreamsRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Lists the upstreams that the answering daemon knows.
#[derive(Debug, Args)]
pub struct List {
    /// Zone to list; all if absent
    #[arg(long, default_value = "")]
    pub zone: String,
    /// Service to list; all if absent
    #[arg(long, default_value = "")]
    pub service: String,
}

impl Run for List {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListUpstreamsRequest {
            zone: self.zone.clone(),
            service: self.service.clone(),
        };
        let answer = session.client().list_upstreams(&request).await?;
        Ok(session.show(&answer))
    }
}
