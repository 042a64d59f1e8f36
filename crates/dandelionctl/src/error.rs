//! Errors of the command line and their exit statuses.

use dandelion_rpc::ClientError;
use dandelion_rpc::RpcError;
use dandelion_rpc::TransportError;
use thiserror::Error;

/// Exit status after a refusal.
pub const EXIT_REFUSED: u8 = 1;

/// Exit status after an unusable flag, variable or file.
pub const EXIT_USAGE: u8 = 2;

/// Exit status if no whole answer was received.
pub const EXIT_NO_ANSWER: u8 = 3;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The daemon refused the request.
    #[error("refused ({code}): {error}", code = code_text(.0), error = .0)]
    Refused(RpcError),
    /// No answer was received.
    #[error("{error}{}", request_text(request.as_deref()))]
    NoAnswer {
        /// What is known of the request.
        error: TransportError,
        /// Request id of the change that has no answer.
        request: Option<String>,
    },
    /// The answer is not one of this schema.
    #[error("{0}")]
    Malformed(String),
    /// A flag, variable or file cannot be used.
    #[error("{what} `{value}`: {reason}; {remedy}")]
    Usage {
        /// Kind of the input.
        what: &'static str,
        /// Its value or path.
        value: String,
        /// What is wrong.
        reason: String,
        /// What to do.
        remedy: &'static str,
    },
    /// The operator did not agree, or the state moved on.
    #[error("nothing more was changed: {reason}; {remedy}")]
    Stopped {
        /// Why.
        reason: String,
        /// What to do.
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

    /// Adds the request id of the change that was sent, if no answer came.
    #[must_use]
    pub fn with_request(mut self, sent: Option<&str>) -> Self {
        if let Self::NoAnswer { request, .. } = &mut self {
            *request = sent.map(str::to_owned);
        }
        self
    }

    /// Makes a `Usage` error.
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
