//! Exponential delay with jitter between attempts to connect.

use std::time::Duration;

use crate::mesh::config::Timing;

/// Counts consecutive failures and computes the delay after each.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Restarts from the shortest delay, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the next delay, of which half is fixed and up to half is random.
    pub fn next(&mut self, timing: &Timing) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let full = timing
            .min_delay
            .saturating_mul(factor)
            .min(timing.max_delay);
        let fraction = getrandom::u32().map_or(0.5, |n| f64::from(n) / f64::from(u32::MAX));
        full.mul_f64(0.5 + fraction / 2.0)
    }
}
