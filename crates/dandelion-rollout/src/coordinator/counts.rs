//! Counts that a coordinator keeps for metrics and `job show`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::attribution::Discard;

/// Counts since the coordinator took charge.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Second attempts for a slow sample.
    pub hedges: u64,
    /// Samples finished.
    pub finished: u64,
    /// Samples handed out for the first time.
    pub delivered: u64,
    /// Sum over delivered samples of the versions that they lagged behind.
    pub staleness: u64,
    /// Attempts discarded because tokens could not be attributed, by reason.
    pub unattributed: BTreeMap<Discard, u64>,
    /// Finished or half finished samples that grew too old.
    pub stale: u64,
    /// Samples discarded because they could not be scored.
    pub unscored: u64,
    /// Cursors answered as void.
    pub voids: u64,
    /// Groups given up.
    pub dropped: u64,
    /// Batches cut with a single payload holder.
    pub single_holder: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens generated that are in no sample.
    pub wasted: u64,
    /// Tokens of losing copies of hedged samples, part of `wasted`.
    pub hedge_wasted: u64,
}

impl RolloutCounts {
    /// Counts an attempt whose tokens could not be attributed.
    pub fn discard(&mut self, reason: Discard) {
        *self.unattributed.entry(reason).or_default() += 1;
    }
}
