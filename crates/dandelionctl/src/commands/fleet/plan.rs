//! Shows the plan of upstream orders with the reason for each.

use clap::Args;
use dandelion_rpc::generated::ListRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Shows the plan of upstream orders with the reason for each.
#[derive(Debug, Args)]
pub struct Plan {}

impl Run for Plan {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListRequest {};
        let answer = session.client().fleet_plan(&request).await?;
        Ok(session.show(&answer))
    }
}
