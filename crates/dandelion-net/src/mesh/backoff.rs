//! Exponential delay with jitter between attempts to connect.

use std::time::Duration;

use crate::mesh::config::Timing;

/// Counts failures and gives the delay after each.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Starts again from the shortest delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the next delay: half of it fixed, half of it random.
    pub fn next(&mut self, timing: &Timing) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let full = timing
            .min_delay
            .saturating_mul(factor)
            .min(timing.max_delay);
        let share = getrandom::u32().map_or(0.5, |n| f64::from(n) / f64::from(u32::MAX));
        full.mul_f64(0.5 + share / 2.0)
    }
}
