//! Says what was decided about one thing, and why.

use clap::Args;
use dandelion_rpc::generated::ExplainRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Says what was decided about one thing, and why.
#[derive(Debug, Args)]
pub struct Explain {
    /// Kind: request, upstream, daemon or change
    pub kind: String,
    /// Name or number
    pub id: String,
}

impl Run for Explain {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = ExplainRequest {
            kind: self.kind.clone(),
            id: self.id.clone(),
        };
        let answer = session.client().explain(&request).await?;
        Ok(session.show(&answer))
    }
}
