//! Shows a rollout job with its progress, budget and discarded samples.

use clap::Args;
use dandelion_rpc::generated::GetJobRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Shows a rollout job with its progress, budget and discarded samples.
#[derive(Debug, Args)]
pub struct Show {
    /// Name of the job
    pub job: String,
}

impl Run for Show {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = GetJobRequest {
            name: self.job.clone(),
        };
        let answer = session.client().get_job(&request).await?;
        Ok(session.show(&answer))
    }
}
