//! Withdraws a key and waits until no daemon accepts it.

use clap::Args;
use dandelion_rpc::generated::NameRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Withdraws a key and waits until no daemon accepts it.
#[derive(Debug, Args)]
pub struct Withdraw {
    /// Name of the key
    pub key: String,
}

impl Run for Withdraw {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let request = NameRequest {
            change: session.change()?,
            name: self.key.clone(),
        };
        let answer = session.client().withdraw_key(&request).await?;
        Ok(session.show_change(answer).await)
    }
}
