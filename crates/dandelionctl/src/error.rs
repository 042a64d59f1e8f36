//! Errors of the command line and their exit statuses.

use dandelion_rpc::ClientError;
use dandelion_rpc::RpcError;
use dandelion_rpc::TransportError;
use thiserror::Error;

/// Exit status if a daemon refused a request, or the command stopped before it was complete.
pub const EXIT_REFUSED: u8 = 1;

/// Exit status if a flag, variable or file cannot be used.
pub const EXIT_USAGE: u8 = 2;

/// Exit status if no complete and valid answer was received.
pub const EXIT_NO_ANSWER: u8 = 3;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The daemon refused the request; holds its answer.
    #[error("refused ({code}): {error}", code = code_text(.0), error = .0)]
    Refused(RpcError),
    /// No answer was received.
    #[error("{error}{}", request_text(request.as_deref()))]
    NoAnswer {
        /// Why there is no answer, and whether the request was sent.
        error: TransportError,
        /// Request id of the change, to be reused for a resend; `None` if the request is not a
        /// change, or is a step of `apply`.
        request: Option<String>,
    },
    /// The answer is not valid; holds the reason.
    #[error("{0}")]
    Malformed(String),
    /// A flag, variable or file cannot be used.
    #[error("{what} `{value}`: {reason}; {remedy}")]
    Usage {
        /// Flag or kind of input, such as `--request-id` or `file`.
        what: &'static str,
        /// Value of the flag, or path of the file.
        value: String,
        /// Why it cannot be used.
        reason: String,
        /// What the operator can do.
        remedy: &'static str,
    },
    /// The command stopped before it was complete: the operator did not confirm it, the
    /// configuration changed meanwhile, or a wait was too short.
    #[error("nothing more was changed: {reason}; {remedy}")]
    Stopped {
        /// Why the command stopped.
        reason: String,
        /// What the operator can do.
        remedy: &'static str,
    },
}

impl CtlError {
    /// Returns the exit status.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Stopped { .. } => EXIT_REFUSED,
            Self::Usage { .. } => EXIT_USAGE,
            Self::NoAnswer { .. } | Self::Malformed(_) => EXIT_NO_ANSWER,
        }
    }

    /// Adds the request id of the change that was sent to an error without an answer.
    #[must_use]
    pub fn with_request(mut self, sent: Option<&str>) -> Self {
        if let Self::NoAnswer { request, .. } = &mut self {
            *request = sent.map(str::to_owned);
        }
        self
    }

    /// Creates a `Usage` error.
    pub fn usage(what: &'static str, value: &str, reason: &str, remedy: &'static str) -> Self {
        Self::Usage {
            what,
            value: value.to_owned(),
            reason: reason.to_owned(),
            remedy,
        }
    }
}

impl From<ClientError> for CtlError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Refused(error) => Self::Refused(error),
            ClientError::Transport(error) => Self::NoAnswer {
                error,
                request: None,
            },
            malformed @ ClientError::Malformed { .. } => Self::Malformed(malformed.to_string()),
        }
    }
}

fn code_text(error: &RpcError) -> String {
    serde_json::to_value(error.code)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn request_text(request: Option<&str>) -> String {
    request.map_or_else(String::new, |id| format!(" (--request-id {id})"))
}
