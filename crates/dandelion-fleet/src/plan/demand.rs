//! Demand with hysteresis: rises at once, falls only after it has stayed low.

use std::collections::VecDeque;

use dandelion_protocol::time::Millis;

/// How long demand must stay below a level before the level is given up.
pub const HOLD: Millis = Millis::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    load: f64,
}

/// Greatest demand seen within [`HOLD`].
///
/// Keeps only samples that can still become the maximum, so the cost of an update is constant on
/// average.
#[derive(Debug, Clone, Default)]
pub struct HeldDemand {
    samples: VecDeque<Sample>,
}

impl HeldDemand {
    /// Adds the demand at `now` and returns the held demand.
    pub fn update(&mut self, now: Millis, load: f64) -> f64 {
        while self.samples.back().is_some_and(|s| s.load <= load) {
            self.samples.pop_back();
        }
        self.samples.push_back(Sample { at: now, load });
        while self.samples.front().is_some_and(|s| now.since(s.at) > HOLD) {
            self.samples.pop_front();
        }
        self.samples.front().map_or(load, |s| s.load)
    }
}
