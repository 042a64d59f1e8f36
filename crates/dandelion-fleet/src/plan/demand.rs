//! Peak demand over a sliding window: rises immediately, falls only after demand has stayed low.

use std::collections::VecDeque;

use dandelion_protocol::time::Millis;

/// Length of the sliding window over which the peak demand is taken.
pub const PEAK_WINDOW: Millis = Millis::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    load: f64,
}

/// Greatest demand within [`PEAK_WINDOW`].
///
/// Stores only samples that can still become the maximum, so that an update takes amortized
/// constant time.
#[derive(Debug, Clone, Default)]
pub struct PeakDemand {
    samples: VecDeque<Sample>,
}

impl PeakDemand {
    /// Adds the demand at `now` and returns the peak.
    pub fn update(&mut self, now: Millis, load: f64) -> f64 {
        while self.samples.back().is_some_and(|s| s.load <= load) {
            self.samples.pop_back();
        }
        self.samples.push_back(Sample { at: now, load });
        while self
            .samples
            .front()
            .is_some_and(|s| now.since(s.at) > PEAK_WINDOW)
        {
            self.samples.pop_front();
        }
        self.samples.front().map_or(load, |s| s.load)
    }
}
