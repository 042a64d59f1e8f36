//! Sends a request to one daemon after another until it is answered.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_rpc::Transport;
use dandelion_rpc::TransportError;
use dandelion_rpc::client::RawAnswer;
use dandelion_rpc::secret::Secret;

use super::exchange;
use super::exchange::Post;

/// Pause before the first resend; each further one waits longer by as much.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause before a resend.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Statuses after which the same request may be answered a moment later.
const PASSING_STATUSES: [u16; 2] = [503, 504];

/// Posts to the first daemon that answers. A resend repeats the same bytes, and so the same
/// request id.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    /// Daemons in the order in which they are tried.
    pub daemons: Vec<SocketAddr>,
    /// Token of the operators.
    pub token: Option<Secret>,
    /// Longest wait for one answer.
    pub timeout: Duration,
    /// Times that a request is sent again after every daemon was tried once.
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
        let first = self.try_each(&post).await;
        let mut best = first;
        for resend in 1..=self.resends {
            if is_final(&best) {
                break;
            }
            async_std::task::sleep(MAX_PAUSE.min(RESEND_PAUSE * resend)).await;
            best = prefer(best, self.try_each(&post).await);
        }
        best
    }
}

impl HttpTransport {
    async fn try_each(&self, post: &Post<'_>) -> Result<RawAnswer, TransportError> {
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
        Ok(answer) => !PASSING_STATUSES.contains(&answer.status),
        Err(_) => false,
    }
}

/// Returns what is known after two tries: an answer goes before none, and a request that may have
/// been carried out is never reported as not sent.
fn prefer(
    earlier: Result<RawAnswer, TransportError>,
    later: Result<RawAnswer, TransportError>,
) -> Result<RawAnswer, TransportError> {
    let keep = match (&earlier, &later) {
        (_, Ok(answer)) => answer.status == 503 && is_open(&earlier),
        (Ok(_) | Err(TransportError::Unknown(_)), Err(TransportError::NotSent(_))) => true,
        (_, Err(_)) => false,
    };
    if keep { earlier } else { later }
}

/// Returns whether the request may have been carried out without an answer.
fn is_open(outcome: &Result<RawAnswer, TransportError>) -> bool {
    match outcome {
        Ok(answer) => answer.status == 504,
        Err(TransportError::Unknown(_)) => true,
        Err(TransportError::NotSent(_)) => false,
    }
}
