//! Shows the daemons, the leader and the revision; can wait for a revision.

use clap::Args;
use dandelion_rpc::generated::StatusRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Longest wait of one request, in milliseconds; a longer wait takes several requests.
const MAX_ROUND_MS: u64 = 5000;

/// Shows the daemons, the leader and the revision; can wait for a revision.
#[derive(Debug, Args)]
pub struct Status {
    /// Wait until every daemon has applied this revision
    #[arg(long, value_name = "REVISION")]
    pub wait: Option<u64>,
    /// Longest wait, in milliseconds
    #[arg(long, default_value = "10000")]
    pub wait_ms: u64,
}

impl Run for Status {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let mut remaining = self.wait_ms;
        let answer = loop {
            let round = remaining.min(MAX_ROUND_MS);
            remaining -= round;
            let request = StatusRequest {
                wait_revision: self.wait,
                timeout_ms: round,
            };
            let answer = session.client().status(&request).await?;
            if self.wait.is_none() || answer.reached || remaining == 0 {
                break answer;
            }
        };
        if self.wait.is_some() && !answer.reached {
            return Err(CtlError::Stopped {
                reason: format!(
                    "the revision is in force on only {} of {} daemons",
                    answer.daemons_applied, answer.daemons_total
                ),
                remedy: "wait longer, or look at `dandelionctl status` for daemons that lag",
            });
        }
        Ok(session.show(&answer))
    }
}
