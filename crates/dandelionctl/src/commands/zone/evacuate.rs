//! Evacuates a zone: nothing more is sent to its upstreams.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Evacuates a zone: nothing more is sent to its upstreams.
#[derive(Debug, Args)]
pub struct Evacuate {
    /// Name of the zone
    pub zone: String,
}

impl Run for Evacuate {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.zone.clone(),
        };
        let answer = session.client().evacuate_zone(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
