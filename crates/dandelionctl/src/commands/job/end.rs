//! Ends a rollout job.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Ends a rollout job.
#[derive(Debug, Args)]
pub struct End {
    /// Name of the job
    pub job: String,
}

impl Run for End {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.job.clone(),
        };
        let answer = session.client().end_job(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
