//! Checks of what the trainer receives, with counts of violated guarantees.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::rollout::SampleId;

/// Counts of delivered samples and of violated guarantees.
#[derive(Debug, Clone, Default)]
pub struct Checks {
    /// Samples that the trainer received twice.
    pub duplicated: u64,
    /// Samples of fed groups that were never delivered.
    pub lost: u64,
    /// Samples that exceeded the staleness bound when they were delivered.
    pub stale: u64,
    /// Samples with a token of another version than their segments name.
    pub misattributed: u64,
    /// Batches whose digest changed under the same cursor.
    pub changed: u64,
    /// Batches sent to a trainer process that did not hold the lease.
    pub shared: u64,
    /// Samples in batches that the trainer trained on.
    pub received: u64,
    /// Sum of the versions by which the received samples lagged behind.
    pub staleness: u64,
    /// Tokens of the received samples.
    pub tokens: u64,
    /// Groups reported as given up.
    pub dropped: BTreeSet<u64>,
    sample_ids: BTreeSet<SampleId>,
    digests: BTreeMap<u64, u64>,
}

/// Returns the character that a simulated engine generates for every token of a version.
pub fn token_of(version: WeightVersion) -> char {
    char::from(b'A' + (version.0 % 58) as u8)
}

impl Checks {
    /// Checks a batch as the daemon sends it.
    pub fn check_sent(&mut self, batch: &Batch, published: WeightVersion, bound: u64) {
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

    /// Records that the trainer has trained on a batch.
    pub fn record_received(&mut self, batch: &Batch, published: WeightVersion) {
        self.dropped.extend(&batch.dropped);
        for sample in samples(batch) {
            self.received += 1;
            self.tokens += sample.text.len() as u64;
            let oldest = sample.oldest().unwrap_or(published);
            self.staleness += published.0.saturating_sub(oldest.0);
            if !self.sample_ids.insert(sample.id.clone()) {
                self.duplicated += 1;
            }
        }
    }

    /// Counts the samples of `groups` fed groups that were never delivered.
    pub fn finish(&mut self, groups: u64, size: u32) {
        let dropped = self.dropped.len() as u64;
        let expected = (groups - dropped) * u64::from(size);
        self.lost = expected.saturating_sub(self.sample_ids.len() as u64);
    }

    /// Returns the number of all violated guarantees.
    #[allow(dead_code, reason = "each user of the module uses only a part of it")]
    pub fn violations(&self) -> u64 {
        let sum = self.duplicated + self.lost + self.stale + self.misattributed;
        sum + self.changed + self.shared
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
