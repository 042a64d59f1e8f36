//! Sends a request to one daemon after another until one answers.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_rpc::Transport;
use dandelion_rpc::TransportError;
use dandelion_rpc::client::RawAnswer;
use dandelion_rpc::secret::Secret;

use super::exchange;
use super::exchange::Post;

/// Delay before the first resend; each further delay is longer by the same amount.
const RESEND_DELAY: Duration = Duration::from_millis(200);

/// Longest delay before a resend.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(1);

/// Statuses of temporary failures, after which the same request is sent again.
const TRANSIENT_STATUSES: [u16; 2] = [503, 504];

/// Posts to the first daemon that answers. A resend repeats the same bytes, and so the same
/// request id.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    /// Addresses of daemons in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// Operator token; no authorization header is sent if `None`.
    pub token: Option<Secret>,
    /// Longest wait for a connection, and again for the answer.
    pub timeout: Duration,
    /// Number of further rounds over the daemons after a first round without a final answer.
    pub resends: u32,
}

impl Transport for HttpTransport {
    async fn post(
        &self,
        path: &str,
        content_type: &str,
        body: &[u8],
    ) -> Result<RawAnswer, TransportError> {
        let post = Post {
            path,
            content_type,
            token: self.token.as_ref().map(Secret::reveal),
            body,
        };
        let first = self.try_daemons(&post).await;
        let mut best = first;
        for resend in 1..=self.resends {
            if is_final(&best) {
                break;
            }
            async_std::task::sleep(MAX_RESEND_DELAY.min(RESEND_DELAY * resend)).await;
            best = prefer(best, self.try_daemons(&post).await);
        }
        best
    }
}

impl HttpTransport {
    async fn try_daemons(&self, post: &Post<'_>) -> Result<RawAnswer, TransportError> {
        let none = TransportError::NotSent("no daemon is given".to_owned());
        let mut best = Err(none);
        for daemon in &self.daemons {
            best = prefer(best, exchange::post(*daemon, post, self.timeout).await);
            if is_final(&best) {
                break;
            }
        }
        best
    }
}

fn is_final(outcome: &Result<RawAnswer, TransportError>) -> bool {
    match outcome {
        Ok(answer) => !TRANSIENT_STATUSES.contains(&answer.status),
        Err(_) => false,
    }
}

/// Combines the outcomes of two attempts: an answer takes precedence over none, and a request that
/// may have been executed is never reported as not sent.
fn prefer(
    earlier: Result<RawAnswer, TransportError>,
    later: Result<RawAnswer, TransportError>,
) -> Result<RawAnswer, TransportError> {
    let keep_earlier = match (&earlier, &later) {
        (_, Ok(answer)) => answer.status == 503 && may_have_run(&earlier),
        (Ok(_) | Err(TransportError::Unknown(_)), Err(TransportError::NotSent(_))) => true,
        (_, Err(_)) => false,
    };
    if keep_earlier { earlier } else { later }
}

/// Returns whether the request may have been executed although no answer says so.
fn may_have_run(outcome: &Result<RawAnswer, TransportError>) -> bool {
    match outcome {
        Ok(answer) => answer.status == 504,
        Err(TransportError::Unknown(_)) => true,
        Err(TransportError::NotSent(_)) => false,
    }
}
