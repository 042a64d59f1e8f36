//! Removes a team with all its keys.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Removes a team with all its keys.
#[derive(Debug, Args)]
pub struct Remove {
    /// Name of the team
    pub team: String,
}

impl Run for Remove {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.team.clone(),
        };
        let answer = session.client().remove_team(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
