//! Removes a service.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Removes a service.
#[derive(Debug, Args)]
pub struct Remove {
    /// Name of the service
    pub service: String,
}

impl Run for Remove {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.service.clone(),
        };
        let answer = session.client().remove_service(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
