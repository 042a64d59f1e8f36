//! Quantiles of observed values in a bounded, decaying histogram.

/// Buckets per doubling of the value; a bucket is about 19 % wide.
const STEPS: usize = 4;

/// Doublings covered, from 1 to 2^40.
const DOUBLINGS: usize = 40;

/// Observations after which all counts are halved, so that the past fades.
const FADE_AFTER: u32 = 4096;

/// A histogram with geometric buckets.
#[derive(Debug, Clone)]
pub struct Quantiles {
    counts: Vec<u32>,
    total: u32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            counts: vec![0; STEPS * DOUBLINGS],
            total: 0,
        }
    }
}

impl Quantiles {
    /// Records one value.
    pub fn record(&mut self, value: u64) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
        if self.total >= FADE_AFTER {
            self.fade();
        }
    }

    fn fade(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    /// Returns the number of values that still count.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// Returns an upper estimate of the `permille` quantile, or none without values.
    pub fn quantile(&self, permille: u32) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille))
            .div_ceil(1000)
            .max(1);
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= rank {
                return Some(upper(index));
            }
        }
        None
    }
}

fn bucket(value: u64) -> usize {
    let exact = (value.max(1) as f64).log2() * STEPS as f64;
    (exact as usize).min(STEPS * DOUBLINGS - 1)
}

fn upper(index: usize) -> u64 {
    2f64.powf((index + 1) as f64 / STEPS as f64).ceil() as u64
}
