//! Creates or replaces a team.

use clap::Args;
use dandelion_rpc::generated::PutTeamRequest;
use dandelion_rpc::generated::Team;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Creates or replaces a team.
#[derive(Debug, Args)]
pub struct Put {
    /// Name of the team
    pub team: String,
    /// Share of contended capacity relative to other teams
    #[arg(long, default_value = "1")]
    pub weight: u32,
    /// Limit on requests that run at the same time; unlimited if absent
    #[arg(long)]
    pub max_inflight: Option<u32>,
    /// Limit on generated tokens per minute; unlimited if absent
    #[arg(long)]
    pub token_rate: Option<u64>,
}

impl Run for Put {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = PutTeamRequest {
            change: session.change()?,
            team: Some(Team {
                id: self.team.clone(),
                weight: self.weight,
                max_inflight: self.max_inflight,
                token_rate: self.token_rate,
            }),
        };
        let answer = session.client().put_team(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
