//! Usage counters and window figures.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::TeamId;

/// Class of a request; interactive goes before rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits for it.
    Interactive,
    /// Produces training samples.
    Rollout,
}

/// Counts that are billed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ran.
    pub requests: u64,
    /// Prompt tokens.
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

    /// Returns these counts less `earlier`, which must not be greater in any field.
    #[must_use]
    pub fn less(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(earlier.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(earlier.output_tokens),
            busy_ms: self.busy_ms.saturating_sub(earlier.busy_ms),
        }
    }
}

/// Counts of one team and class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamCounts {
    /// Billed team.
    pub team: TeamId,
    /// Class of the work.
    pub class: Class,
    /// What was used.
    pub counts: Counts,
}

/// Number of a usage window: wall-clock time divided by the window's length.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WindowId(pub u64);

/// Cumulative figures of one daemon incarnation in one window.
///
/// A report with a higher sequence replaces every earlier one of the same source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterReport {
    /// Daemon that counted.
    pub daemon: DaemonId,
    /// Life of the daemon process.
    pub incarnation: Incarnation,
    /// Window in which the work ended.
    pub window: WindowId,
    /// Grows with every change of the totals.
    pub sequence: u64,
    /// Whether the daemon will add nothing more to this window.
    pub closed: bool,
    /// Totals, ordered by team and class.
    pub totals: Vec<TeamCounts>,
}
