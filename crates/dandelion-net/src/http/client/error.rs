//! What went wrong with a request, and whether the upstream may have got any of it.

use thiserror::Error;

use crate::http::head::HeadError;

/// A request without a whole answer.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte left: the request did not run and can be sent elsewhere.
    #[error("not sent: {0}")]
    NotSent(Cause),
    /// A byte may have left: the request may have run.
    #[error("outcome unknown: {0}")]
    Unknown(Cause),
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be put into HTTP form.
    #[error("the request is not valid ({0}); correct its method, path or headers")]
    Request(String),
    /// No connection could be made.
    #[error("no connection ({0}); check that the upstream listens on its announced address")]
    Connect(String),
    /// The deadline passed.
    #[error("the deadline passed; allow more time or find out why the upstream is slow")]
    Deadline,
    /// The connection went quiet. The connection is gone; `alive` tells whether a fresh one worked.
    #[error("the connection went quiet (fresh connection works: {alive}); it was replaced")]
    Silent {
        /// Whether the upstream took a fresh connection.
        alive: bool,
    },
    /// The connection broke or closed before the end of the answer.
    #[error("the connection ended early ({0}); check the upstream for a crash")]
    Closed(String),
    /// The answer's head was refused.
    #[error("the answer was refused: {0}")]
    Head(#[from] HeadError),
    /// The answer's body broke its framing.
    #[error("the answer's body broke its framing ({0}); check the upstream")]
    Body(String),
    /// The answer names another request.
    #[error("the answer is for request `{got}`, not `{sent}`; the connection was dropped")]
    Crossed {
        /// Id that was sent.
        sent: String,
        /// Id that came back.
        got: String,
    },
}

impl SendError {
    /// Returns the cause.
    pub fn cause(&self) -> &Cause {
        match self {
            Self::NotSent(cause) | Self::Unknown(cause) => cause,
        }
    }
}
