//! Outcome of one attempt to run a request at an upstream.

use dandelion_protocol::outcome::Ran;
use serde::Deserialize;
use serde::Serialize;

/// How far an attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No byte of the request was written to a connection.
    NotSent,
    /// At least one byte was written and no complete answer came back.
    Unknown,
    /// A complete answer came back.
    Answered,
}

impl AttemptOutcome {
    /// Returns what a caller may be told about the request's execution.
    pub fn ran(self) -> Ran {
        match self {
            Self::NotSent => Ran::NotRun,
            Self::Unknown => Ran::Unknown,
            Self::Answered => Ran::Ran,
        }
    }

    /// Combines the outcomes of two successive attempts at one request. The stronger evidence of a
    /// run wins, so a later attempt that was not sent never hides an earlier one that may have run.
    #[must_use]
    pub fn then(self, later: Self) -> Self {
        match (self, later) {
            (Self::Answered, _) | (_, Self::Answered) => Self::Answered,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::NotSent, Self::NotSent) => Self::NotSent,
        }
    }
}
