//! Creates or changes a rollout job.

use clap::Args;
use dandelion_rpc::generated::Job;
use dandelion_rpc::generated::PutJobRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Creates or changes a rollout job.
#[derive(Debug, Args)]
pub struct Put {
    /// Name of the job
    pub job: String,
    /// Team that is billed
    #[arg(long)]
    pub team: String,
    /// Model service whose engines generate the samples
    #[arg(long)]
    pub service: String,
    /// Samples in a group
    #[arg(long, default_value = "8")]
    pub group_size: u32,
    /// Groups in a training step
    #[arg(long)]
    pub step_groups: u32,
    /// Number of versions that a sample may lag behind the newest published one
    #[arg(long, default_value = "1")]
    pub max_staleness: u64,
    /// Total budget of generated tokens
    #[arg(long)]
    pub token_budget: u64,
    /// Longest answer, in tokens
    #[arg(long, default_value = "1024")]
    pub max_tokens: u32,
    /// Service that scores the samples; none if absent
    #[arg(long)]
    pub scorer: Option<String>,
}

impl Run for Put {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = PutJobRequest {
            change: session.change()?,
            job: Some(Job {
                id: self.job.clone(),
                team: self.team.clone(),
                service: self.service.clone(),
                group_size: self.group_size,
                step_groups: self.step_groups,
                max_staleness: self.max_staleness,
                token_budget: self.token_budget,
                max_tokens: self.max_tokens,
                scorer: self.scorer.clone(),
                ended: false,
            }),
        };
        let answer = session.client().put_job(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
