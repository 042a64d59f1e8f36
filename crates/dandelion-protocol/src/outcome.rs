//! What is known of a request's execution, and the one refusal shape that callers see.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Millis;

/// Whether a request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it reached an upstream.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// Stable code of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed or too large.
    BadRequest,
    /// No key, an unknown key or a withdrawn key.
    Unauthorized,
    /// The key's team may not use this route.
    Forbidden,
    /// No such route, job or record.
    NotFound,
    /// Another caller or process holds what the request needs.
    Conflict,
    /// The team is over its own limit or budget.
    LimitExceeded,
    /// Queues are full or the deadline cannot be met.
    Overloaded,
    /// No upstream can serve the route now.
    NoUpstream,
    /// The control group has no quorum or is out of reach.
    NoQuorum,
    /// The daemon has no fresh control lease.
    StaleLease,
    /// The upstream failed.
    UpstreamFailed,
    /// The deadline passed.
    Timeout,
    /// The request crashed upstreams before and is blocked.
    Poisoned,
    /// An idempotency record has expired or its result is not known.
    OutcomeUnknown,
    /// The daemon is shutting down.
    ShuttingDown,
}

/// A refusal as carried between daemons and shown to callers as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub ran: Ran,
    /// What happened, without secrets.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// When to come back, if that helps.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Makes a refusal of a request that never reached an upstream.
    pub fn not_run(code: RefusalCode, message: &str, remedy: &str) -> Self {
        Self {
            code,
            ran: Ran::NotRun,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
            retry_after: None,
        }
    }

    /// Replaces what is known of the execution.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status that carries this refusal.
    pub fn status(&self) -> u16 {
        match self.code {
            RefusalCode::BadRequest => 400,
            RefusalCode::Unauthorized => 401,
            RefusalCode::Forbidden => 403,
            RefusalCode::NotFound => 404,
            RefusalCode::Conflict | RefusalCode::OutcomeUnknown => 409,
            RefusalCode::Poisoned => 422,
            RefusalCode::LimitExceeded => 429,
            RefusalCode::UpstreamFailed => 502,
            RefusalCode::Overloaded
            | RefusalCode::NoUpstream
            | RefusalCode::NoQuorum
            | RefusalCode::StaleLease
            | RefusalCode::ShuttingDown => 503,
            RefusalCode::Timeout => 504,
        }
    }
}
