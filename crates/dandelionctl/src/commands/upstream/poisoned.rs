//! Lists requests that are blocked because they crashed upstreams.

use clap::Args;
use dandelion_rpc::generated::ListRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Lists requests that are blocked because they crashed upstreams.
#[derive(Debug, Args)]
pub struct Poisoned {}

impl Run for Poisoned {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ListRequest {};
        let answer = session.client().list_poisoned(&request).await?;
        Ok(session.show(&answer))
    }
}
