//! Counters of a coordinator for metrics and `job show`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::attribution::Discard;

/// Counters since the coordinator was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Attempts sent to engines, hedges included.
    pub attempts: u64,
    /// Attempts that failed, cancelled ones excluded.
    pub failures: u64,
    /// Second attempts for slow or stalled samples.
    pub hedges: u64,
    /// Samples generated in full and within the staleness bound, scored or not.
    pub finished: u64,
    /// Samples in batches that this coordinator froze.
    pub delivered: u64,
    /// Sum over delivered samples of the versions that they lagged behind.
    pub staleness: u64,
    /// Attempts discarded because tokens could not be attributed, by reason.
    pub unattributed: BTreeMap<Discard, u64>,
    /// Finished or partly generated samples that exceeded the staleness bound.
    pub stale: u64,
    /// Samples discarded because they could not be scored.
    pub unscored: u64,
    /// Pulls answered with a void batch.
    pub voids: u64,
    /// Groups given up after too many failed attempts.
    pub dropped: u64,
    /// Batches proposed for freezing with a single payload holder.
    pub single_holder: u64,
    /// Tokens generated; of an attempt whose tokens are unknown, its whole reservation.
    pub tokens: u64,
    /// Generated tokens that are in no sample.
    pub wasted: u64,
    /// Tokens wasted by cancelled attempts, such as the slower copy of a hedged sample; part of
    /// `wasted`.
    pub hedge_wasted: u64,
}

impl RolloutCounts {
    /// Counts an attempt whose tokens could not be attributed.
    pub fn discard(&mut self, reason: Discard) {
        *self.unattributed.entry(reason).or_default() += 1;
    }
}
