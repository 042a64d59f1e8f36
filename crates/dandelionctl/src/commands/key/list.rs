//! Lists keys without their secrets.

use clap::Args;
use dandelion_rpc::generated::ListKeysRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Lists keys without their secrets.
#[derive(Debug, Args)]
pub struct List {
    /// Team whose keys are listed; all if absent
    #[arg(long, default_value = "")]
    pub team: String,
}

impl Run for List {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListKeysRequest {
            team: self.team.clone(),
        };
        let answer = session.client().list_keys(&request).await?;
        Ok(session.show(&answer))
    }
}
