//! What one attempt at an upstream came to.

use dandelion_protocol::outcome::Ran;
use serde::Deserialize;
use serde::Serialize;

/// How far an attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// No byte of the request was handed to a connection.
    NotSent,
    /// At least one byte was handed over and no whole answer came back.
    Unknown,
    /// A whole answer came back.
    Answered,
}

impl AttemptOutcome {
    /// Returns what a caller may be told.
    pub fn ran(self) -> Ran {
        match self {
            Self::NotSent => Ran::NotRun,
            Self::Unknown => Ran::Unknown,
            Self::Answered => Ran::Ran,
        }
    }

    /// Combines the outcomes of successive attempts at one request; knowledge of a run is kept.
    #[must_use]
    pub fn then(self, later: Self) -> Self {
        match (self, later) {
            (Self::Answered, _) | (_, Self::Answered) => Self::Answered,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::NotSent, Self::NotSent) => Self::NotSent,
        }
    }
}
