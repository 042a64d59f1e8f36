//! Explains how the figures of a usage window came about.

use clap::Args;
use dandelion_rpc::generated::UsageExplainRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Explains how the figures of a usage window came about.
#[derive(Debug, Args)]
pub struct Explain {
    /// Number of the window
    pub window: u64,
}

impl Run for Explain {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = UsageExplainRequest {
            window: self.window,
        };
        let answer = session.client().usage_explain(&request).await?;
        Ok(session.show(&answer))
    }
}
