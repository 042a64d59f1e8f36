//! Cancels the evacuation of a zone.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Cancels the evacuation of a zone.
#[derive(Debug, Args)]
pub struct Restore {
    /// Name of the zone
    pub zone: String,
}

impl Run for Restore {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.zone.clone(),
        };
        let answer = session.client().restore_zone(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
