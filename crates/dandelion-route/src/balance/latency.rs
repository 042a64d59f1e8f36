//! Latency histogram with logarithmic buckets. Its counts are halved at intervals, so that old
//! latencies lose their weight.

/// Buckets per doubling of the latency.
const PER_OCTAVE: u32 = 4;

/// Number of buckets: 32 doublings.
const BUCKETS: usize = 32 * PER_OCTAVE as usize;

/// Histogram of latencies per token, in microseconds.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Counts one latency.
    pub fn record(&mut self, micros: u64) {
        self.counts[bucket(micros)] += 1;
        self.total += 1;
    }

    /// Returns the number of latencies, as reduced by decay.
    pub fn len(&self) -> u32 {
        self.total
    }

    /// Returns whether the histogram is empty.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the upper bound of the bucket with the given quantile, or 0 if there is no latency.
    pub fn quantile(&self, permille: u32) -> u64 {
        let rank = u64::from(self.total) * u64::from(permille) / 1000;
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen > rank {
                return upper_bound(index);
            }
        }
        0
    }

    /// Halves every count.
    pub fn decay(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(micros: u64) -> usize {
    let value = micros.max(1);
    let octave = value.ilog2();
    let within = ((value << 2) >> octave) & 3;
    let index = octave * PER_OCTAVE + within as u32;
    (index as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> u64 {
    let octave = index as u32 / PER_OCTAVE;
    let within = u64::from(index as u32 % PER_OCTAVE);
    ((5 + within) << octave) / 4
}
