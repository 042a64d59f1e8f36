//! Lists the evacuated zones.

use clap::Args;
use dandelion_rpc::generated::ListRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Lists the evacuated zones.
#[derive(Debug, Args)]
pub struct List {}

impl Run for List {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListRequest {};
        let answer = session.client().list_zones(&request).await?;
        Ok(session.show(&answer))
    }
}
