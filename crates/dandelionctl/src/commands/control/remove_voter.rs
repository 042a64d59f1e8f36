//! Removes a control daemon from the voters.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Removes a control daemon from the voters.
#[derive(Debug, Args)]
pub struct RemoveVoter {
    /// Name of the daemon
    pub name: String,
}

impl Run for RemoveVoter {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.name.clone(),
        };
        let answer = session.client().remove_voter(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
