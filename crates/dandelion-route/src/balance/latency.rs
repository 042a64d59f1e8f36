//! Distribution of latencies in logarithmic buckets, halved at intervals so that it forgets.

/// Buckets for each doubling of the latency.
const PER_OCTAVE: u32 = 4;

/// Number of buckets: 32 doublings.
const BUCKETS: usize = 32 * PER_OCTAVE as usize;

/// Histogram of latencies per predicted token, in microseconds.
#[derive(Debug, Clone)]
pub struct Latencies {
    counts: Vec<u32>,
    total: u32,
}

impl Default for Latencies {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            total: 0,
        }
    }
}

impl Latencies {
    /// Counts one latency.
    pub fn record(&mut self, micros: u64) {
        self.counts[bucket(micros)] += 1;
        self.total += 1;
    }

    /// Returns the number of latencies that still count.
    pub fn len(&self) -> u32 {
        self.total
    }

    /// Returns whether nothing counts.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the upper edge of the bucket that holds the given quantile.
    pub fn quantile(&self, permille: u32) -> u64 {
        let wanted = u64::from(self.total) * u64::from(permille) / 1000;
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen > wanted {
                return edge(index);
            }
        }
        0
    }

    /// Halves every count.
    pub fn fade(&mut self) {
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

fn edge(index: usize) -> u64 {
    let octave = index as u32 / PER_OCTAVE;
    let within = u64::from(index as u32 % PER_OCTAVE);
    ((5 + within) << octave) / 4
}
