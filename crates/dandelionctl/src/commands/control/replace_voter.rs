//! Replaces a lost voter with a daemon that has a new name.

use clap::Args;
use dandelion_rpc::generated::ReplaceVoterRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Replaces a lost voter with a daemon that has a new name.
#[derive(Debug, Args)]
pub struct ReplaceVoter {
    /// Name of the lost voter
    pub lost: String,
    /// Name of the new daemon
    pub name: String,
    /// Mesh address of the new daemon as ip:port
    pub address: String,
}

impl Run for ReplaceVoter {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ReplaceVoterRequest {
            change: session.change()?,
            lost: self.lost.clone(),
            name: self.name.clone(),
            address: self.address.clone(),
        };
        let answer = session.client().replace_voter(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
