//! Unblocks a request that was blocked because it crashed upstreams.

use clap::Args;
use dandelion_rpc::generated::UnpoisonRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Unblocks a request that was blocked because it crashed upstreams.
#[derive(Debug, Args)]
pub struct Unpoison {
    /// Fingerprint of the request, as hexadecimal digits
    pub fingerprint: String,
}

impl Run for Unpoison {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = UnpoisonRequest {
            change: session.change()?,
            fingerprint: self.fingerprint.clone(),
        };
        let answer = session.client().unpoison(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
