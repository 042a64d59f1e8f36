//! Whether a content may run, and why not.

use dandelion_net::clock;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

use crate::gateway::answer::RETRY_DELAY;

/// How a run of a content was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The content is not suspected.
    Free,
    /// As this trial of a suspected content.
    Trial(RequestId),
}

impl Permit {
    /// Returns whether the run is a trial.
    pub fn is_trial(self) -> bool {
        self.trial().is_some()
    }

    pub(super) fn trial(self) -> Option<RequestId> {
        match self {
            Self::Free => None,
            Self::Trial(trial) => Some(trial),
        }
    }
}

/// What this entry knows of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is not suspected.
    Clear,
    /// It may run in a trial only.
    Suspected,
    /// It may not run.
    Blocked(Held),
}

/// Why a trial did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The upstream runs a trial of another content.
    Occupied,
    /// The content may not run now.
    Held(Held),
}

/// Why a content may not run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Reason, as the log shows it.
    pub reason: &'static str,
    /// Delay after which the caller may retry.
    pub retry: Millis,
}

impl Held {
    /// Refuses a content for a short time.
    pub(super) fn briefly(reason: &'static str) -> Self {
        Self {
            reason,
            retry: RETRY_DELAY,
        }
    }

    /// Refuses a content until the end of its block.
    pub(super) fn until(until: WallMillis) -> Self {
        let remaining = until.0.saturating_sub(clock::wall_now().0);
        Self {
            reason: "content_blocked",
            retry: Millis(remaining).max(RETRY_DELAY),
        }
    }
}
