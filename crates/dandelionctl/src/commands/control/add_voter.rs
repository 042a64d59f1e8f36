//! Adds a control daemon to the voters.

use clap::Args;
use dandelion_rpc::generated::VoterRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Adds a control daemon to the voters.
#[derive(Debug, Args)]
pub struct AddVoter {
    /// Name of the daemon
    pub name: String,
    /// Mesh address of the daemon as ip:port
    pub address: String,
}

impl Run for AddVoter {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = VoterRequest {
            change: session.change()?,
            name: self.name.clone(),
            address: self.address.clone(),
        };
        let answer = session.client().add_voter(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
