//! Usage of teams, counted in windows of time.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::TeamId;

/// Class of a request; interactive requests have priority over rollout requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits for the answer.
    Interactive,
    /// It generates training samples.
    Rollout,
}

/// Usage that is billed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ran.
    pub requests: u64,
    /// Tokens of the prompts.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Time at the upstream, in milliseconds.
    pub busy_ms: u64,
}

impl Counts {
    /// Adds `other` to these counts.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
        self.busy_ms += other.busy_ms;
    }

    /// Returns the difference to `earlier` in each field, or zero where `earlier` is greater.
    #[must_use]
    pub fn minus(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(earlier.output_tokens),
            busy_ms: self.busy_ms.saturating_sub(earlier.busy_ms),
        }
    }
}

/// Usage of one team and class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCounts {
    /// Billed team.
    pub team: TeamId,
    /// Class of the requests.
    pub class: Class,
    /// Usage by these requests.
    pub counts: Counts,
}

/// Number of a usage window: wall-clock time since the Unix epoch, divided by the window's length.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WindowId(pub u64);

/// Cumulative usage that one daemon incarnation has counted in one window.
///
/// A report replaces those of the same incarnation and window with a lower sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterReport {
    /// Daemon that counted.
    pub daemon: DaemonId,
    /// Incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// Window in which the work ended.
    pub window: WindowId,
    /// Sequence number; increases whenever the totals or `closed` change.
    pub sequence: u64,
    /// Whether the daemon will add nothing more to this window.
    pub closed: bool,
    /// Totals so far, ordered by team and class.
    pub totals: Vec<TeamCounts>,
}
