//! Lists accepted changes, newest last.

use clap::Args;
use dandelion_rpc::generated::HistoryRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Lists accepted changes, newest last.
#[derive(Debug, Args)]
pub struct History {
    /// First revision to list
    #[arg(long, default_value = "0")]
    pub from: u64,
    /// Most changes to list
    #[arg(long, default_value = "50")]
    pub limit: u32,
}

impl Run for History {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = HistoryRequest {
            from_revision: self.from,
            limit: self.limit,
        };
        let answer = session.client().history(&request).await?;
        Ok(session.show(&answer))
    }
}
