//! Errors of requests, and whether the upstream may have received any part of the request.

use thiserror::Error;

use crate::http::head::HeadError;

/// A request that got no complete answer.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum SendError {
    /// No byte was sent: the request did not run and can be sent elsewhere.
    #[error("not sent: {0}")]
    NotSent(Cause),
    /// A byte may have been sent: the request may have run.
    #[error("outcome unknown: {0}")]
    Unknown(Cause),
}

/// Why there is no complete answer.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum Cause {
    /// The request can't be encoded as HTTP.
    #[error("the request is not valid ({0}); correct its method, path or headers")]
    Request(String),
    /// No connection could be made.
    #[error("no connection ({0}); check that the upstream listens on its announced address")]
    Connect(String),
    /// The deadline passed.
    #[error("the deadline passed; allow more time or find out why the upstream is slow")]
    Deadline,
    /// The sender no longer wanted the request to be written.
    #[error("withheld by the sender; choose where to send it again")]
    Withheld,
    /// Another process than the intended one is at the other end of the connection.
    #[error("another process answers at the address; wait until it is announced")]
    OtherPeer,
    /// A write, the head or the next body bytes took longer than the progress timeout; the
    /// connection was dropped.
    #[error("the connection went quiet (fresh connection works: {alive}); it was replaced")]
    Silent {
        /// Whether the upstream answered a probe on a fresh connection. False without a probe if
        /// the timeout passed while the request was written.
        alive: bool,
    },
    /// The connection failed or was closed before the end of the answer.
    #[error("the connection ended early ({0}); check the upstream for a crash")]
    Closed(String),
    /// The answer's head was refused.
    #[error("the answer was refused: {0}")]
    Head(#[from] HeadError),
    /// The answer's body violates its framing, or exceeds the reader's limit.
    #[error("the answer's body broke its framing ({0}); check the upstream")]
    Body(String),
    /// The answer carries the id of another request.
    #[error("the answer is for request `{got}`, not `{sent}`; the connection was dropped")]
    Crossed {
        /// Id in the request.
        sent: String,
        /// Id in the answer.
        got: String,
    },
}

impl SendError {
    /// Returns the cause, whether or not the request may have run.
    pub fn cause(&self) -> &Cause {
        match self {
            Self::NotSent(cause) | Self::Unknown(cause) => cause,
        }
    }
}
