//! Counts of broken promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::rollout::SampleId;

/// What was handed out, and what was wrong with it.
#[derive(Debug, Clone, Default)]
pub struct Checks {
    /// Samples that the trainer took twice.
    pub doubled: u64,
    /// Samples of fed groups that never came.
    pub lost: u64,
    /// Samples older than the bound when they were handed out.
    pub stale: u64,
    /// Samples with a token under another version than the one named.
    pub misattributed: u64,
    /// Batches that changed their bytes under the same cursor.
    pub changed: u64,
    /// Batches that two trainer processes received while both ran.
    pub shared: u64,
    /// Samples taken.
    pub taken: u64,
    /// Sum of the versions that they lagged behind.
    pub staleness: u64,
    /// Tokens of samples taken.
    pub tokens: u64,
    /// Groups reported as given up.
    pub dropped: BTreeSet<u64>,
    seen: BTreeSet<SampleId>,
    digests: BTreeMap<u64, u64>,
}

/// Character that a stand-in engine generates for every token of a version.
pub fn token_of(version: WeightVersion) -> char {
    char::from(b'A' + (version.0 % 58) as u8)
}

impl Checks {
    /// Looks at a batch as it leaves the daemon.
    pub fn sent(&mut self, batch: &Batch, published: WeightVersion, bound: u64) {
        let first = *self.digests.entry(batch.cursor).or_insert(batch.digest);
        if first != batch.digest {
            self.changed += 1;
        }
        for sample in samples(batch) {
            let oldest = sample.oldest().expect("a sample without tokens");
            if oldest.0 + bound < published.0 {
                self.stale += 1;
            }
            if !is_attributed(sample) {
                self.misattributed += 1;
            }
        }
    }

    /// Records that the trainer moved past a batch that it holds.
    pub fn took(&mut self, batch: &Batch, published: WeightVersion) {
        self.dropped.extend(&batch.dropped);
        for sample in samples(batch) {
            self.taken += 1;
            self.tokens += sample.text.len() as u64;
            let oldest = sample.oldest().unwrap_or(published);
            self.staleness += published.0.saturating_sub(oldest.0);
            if !self.seen.insert(sample.id.clone()) {
                self.doubled += 1;
            }
        }
    }

    /// Counts the samples of `groups` fed groups that never came.
    pub fn finish(&mut self, groups: u64, size: u32) {
        let dropped = self.dropped.len() as u64;
        let expected = (groups - dropped) * u64::from(size);
        self.lost = expected.saturating_sub(self.seen.len() as u64);
    }

    /// Returns the sum of all broken promises.
    #[allow(dead_code, reason = "each user of the bench takes a part of it")]
    pub fn broken(&self) -> u64 {
        let wrong = self.doubled + self.lost + self.stale + self.misattributed;
        wrong + self.changed + self.shared
    }
}

fn samples(batch: &Batch) -> impl Iterator<Item = &Sample> {
    batch.groups.iter().flat_map(|group| &group.samples)
}

fn is_attributed(sample: &Sample) -> bool {
    let named = sample.segments.iter().flat_map(|segment| {
        let tokens = (segment.end - segment.start) as usize;
        std::iter::repeat_n(token_of(segment.version), tokens)
    });
    named.eq(sample.text.chars())
}
