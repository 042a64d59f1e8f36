//! Resumes upstream orders.

use clap::Args;
use dandelion_rpc::generated::FleetPauseRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Resumes upstream orders.
#[derive(Debug, Args)]
pub struct Resume {}

impl Run for Resume {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = FleetPauseRequest {
            change: session.change()?,
            paused: false,
        };
        let answer = session.client().fleet_pause(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
