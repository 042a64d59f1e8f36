//! Retry budget and the one rule for retries. Only the entry daemon retries.

use dandelion_protocol::time::Millis;

use crate::outcome::AttemptOutcome;

/// Retries earned by one first attempt, in thousandths.
pub const EARN_PERMILLE: u64 = 100;

/// Most retries that can be saved up, in thousandths.
pub const MAX_SAVED_PERMILLE: u64 = 20_000;

/// Least time left, in milliseconds, for which another attempt is started.
pub const MIN_LEFT: Millis = Millis(20);

/// Retries that may still be spent, earned by first attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_PERMILLE / 2,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARN_PERMILLE).min(MAX_SAVED_PERMILLE);
    }

    /// Spends one retry if one is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.saved >= 1000;
        if enough {
            self.saved -= 1000;
        }
        enough
    }

    /// Returns the whole retries left.
    pub fn left(&self) -> u64 {
        self.saved / 1000
    }
}

/// Decides on another attempt after `outcome`, and spends one retry if it is granted.
///
/// `left` is the time left of the caller's deadline.
pub fn may_retry(
    outcome: AttemptOutcome,
    idempotent: bool,
    budget: &mut RetryBudget,
    left: Millis,
) -> bool {
    let harmless = match outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::Unknown => idempotent,
        AttemptOutcome::Answered => false,
    };
    harmless && left >= MIN_LEFT && budget.spend()
}
