//! Shows the figures of usage windows.

use clap::Args;
use dandelion_rpc::generated::UsageShowRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Shows the figures of usage windows.
#[derive(Debug, Args)]
pub struct Show {
    /// First window to show
    #[arg(long, default_value = "0")]
    pub from: u64,
    /// Last window to show; the newest if absent
    #[arg(long)]
    pub to: Option<u64>,
    /// Team to show; all if absent
    #[arg(long, default_value = "")]
    pub team: String,
}

impl Run for Show {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = UsageShowRequest {
            from_window: self.from,
            to_window: self.to,
            team: self.team.clone(),
        };
        let answer = session.client().usage_show(&request).await?;
        Ok(session.show(&answer))
    }
}
