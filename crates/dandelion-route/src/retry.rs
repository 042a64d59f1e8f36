//! Retry budget and the rule that decides on retries. Only the entry daemon retries.

use dandelion_protocol::time::Millis;

use crate::outcome::AttemptOutcome;

/// Amount that one first attempt adds to the budget, in thousandths of a retry.
pub const EARN_PERMILLE: u64 = 100;

/// Maximum of the budget, in thousandths of a retry.
pub const MAX_SAVED_PERMILLE: u64 = 20_000;

/// Least remaining time before the deadline at which another attempt is started.
pub const MIN_REMAINING: Millis = Millis(20);

/// Retries that are still allowed; first attempts add to it. Starts half full.
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

    /// Spends one retry; returns whether one was available.
    pub fn spend(&mut self) -> bool {
        let available = self.saved >= 1000;
        if available {
            self.saved -= 1000;
        }
        available
    }

    /// Returns the number of complete retries that remain.
    pub fn remaining(&self) -> u64 {
        self.saved / 1000
    }
}

/// Decides on another attempt after `outcome`, and spends one retry if it is granted.
///
/// `remaining` is the time until the caller's deadline.
pub fn may_retry(
    outcome: AttemptOutcome,
    idempotent: bool,
    budget: &mut RetryBudget,
    remaining: Millis,
) -> bool {
    let repeatable = match outcome {
        AttemptOutcome::NotSent => true,
        AttemptOutcome::Unknown => idempotent,
        AttemptOutcome::Answered => false,
    };
    repeatable && remaining >= MIN_REMAINING && budget.spend()
}
