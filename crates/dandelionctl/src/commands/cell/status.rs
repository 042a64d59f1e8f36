//! Shows the daemons, leader and revision; waits for a revision if asked to.

use clap::Args;
use dandelion_rpc::generated::StatusRequest;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Longest wait asked of a daemon at once, in milliseconds.
const ROUND_MS: u64 = 5000;

/// Shows the daemons, leader and revision; waits for a revision if asked to.
#[derive(Debug, Args)]
pub struct Status {
    /// Wait until this revision is in force on every daemon
    #[arg(long, value_name = "REVISION")]
    pub wait: Option<u64>,
    /// Longest wait, in milliseconds
    #[arg(long, default_value = "10000")]
    pub wait_ms: u64,
}

impl Run for Status {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let mut left = self.wait_ms;
        let answer = loop {
            let round = left.min(ROUND_MS);
            left -= round;
            let request = StatusRequest {
                wait_revision: self.wait,
                timeout_ms: round,
            };
            let answer = session.client().status(&request).await?;
            if self.wait.is_none() || answer.reached || left == 0 {
                break answer;
            }
        };
        if self.wait.is_some() && !answer.reached {
            return Err(CtlError::Stopped {
                reason: format!(
                    "the revision is in force on {} of {} daemons only",
                    answer.daemons_applied, answer.daemons_total
                ),
                remedy: "wait longer, or look at `dandelionctl status` for daemons that lag",
            });
        }
        Ok(session.show(&answer))
    }
}
