//! Explains what was decided about a request, upstream, daemon or change, and why.

use clap::Args;
use dandelion_rpc::generated::ExplainRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Explains what was decided about a request, upstream, daemon or change, and why.
#[derive(Debug, Args)]
pub struct Explain {
    /// Kind of the subject: request, upstream, daemon or change
    pub kind: String,
    /// Id of the request, name of the upstream or daemon, or revision of the change
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
