//! Whether a request was executed, and the form of the refusals that callers get.

use serde::Deserialize;
use serde::Serialize;

use crate::time::Millis;

/// Whether a request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run: no byte of it was sent to an upstream.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran,
}

/// Reason of a refusal. The codes are stable, so that programs can rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed or too large.
    BadRequest,
    /// The request has no key, or an unknown, expired or withdrawn one.
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

/// A refusal; daemons send it to each other, and to callers as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason, for programs.
    pub code: RefusalCode,
    /// Whether the request ran, and so whether a resend could run it a second time.
    pub ran: Ran,
    /// What happened, for people; contains no secrets.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Time after which a retry may succeed, if waiting helps.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal of a request that was sent to no upstream, without a retry time.
    pub fn not_run(code: RefusalCode, message: &str, remedy: &str) -> Self {
        Self {
            code,
            ran: Ran::NotRun,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the HTTP status of an answer with this refusal.
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
