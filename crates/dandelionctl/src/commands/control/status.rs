//! Shows the leader, the log and the voters of the control group.

use clap::Args;
use dandelion_rpc::generated::ListRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Shows the leader, the log and the voters of the control group.
#[derive(Debug, Args)]
pub struct Status {}

impl Run for Status {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListRequest {};
        let answer = session.client().control_status(&request).await?;
        Ok(session.show(&answer))
    }
}
