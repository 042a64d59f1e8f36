//! Quantiles of observed values in a bounded, decaying histogram.

/// Buckets per doubling of the value; a bucket is about 19 % wide.
const BUCKETS_PER_DOUBLING: usize = 4;

/// Doublings covered, from 1 to 2^40; greater values go into the last bucket.
const DOUBLINGS: usize = 40;

/// Observations after which all counts are halved, so that recent values dominate.
const HALVE_AFTER: u32 = 4096;

/// A histogram with geometric buckets.
#[derive(Debug, Clone)]
pub struct Quantiles {
    counts: Vec<u32>,
    total: u32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS_PER_DOUBLING * DOUBLINGS],
            total: 0,
        }
    }
}

impl Quantiles {
    /// Records one value.
    pub fn record(&mut self, value: u64) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
        if self.total >= HALVE_AFTER {
            self.decay();
        }
    }

    fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    /// Returns the number of recorded values after decay.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// Returns the upper bound of the bucket of the `permille` quantile, or none without values.
    pub fn quantile(&self, permille: u32) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(permille))
            .div_ceil(1000)
            .max(1);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
                return Some(upper_bound(index));
            }
        }
        None
    }
}

fn bucket(value: u64) -> usize {
    let position = (value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING as f64;
    (position as usize).min(BUCKETS_PER_DOUBLING * DOUBLINGS - 1)
}

fn upper_bound(index: usize) -> u64 {
    2f64.powf((index + 1) as f64 / BUCKETS_PER_DOUBLING as f64)
        .ceil() as u64
}
