//! What the leader knows of the feeders and their daemons.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::message::AppliedCount;
use crate::node::status::InForce;
use crate::timing::Timing;
use crate::timing::lengthen;

/// One feeder's last report.
#[derive(Debug, Clone)]
pub struct FeederRecord {
    /// When all leases that it gave have surely ended.
    pub until: Millis,
    /// Revision that it has applied.
    pub applied: Revision,
    /// What its daemons have applied.
    pub counts: Vec<AppliedCount>,
}

/// Reports of all feeders under a lease.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Until when leases given under an earlier leader may run.
    settles: Millis,
    feeders: BTreeMap<DaemonId, FeederRecord>,
}

impl Ledger {
    /// Starts at the beginning of a leadership, when leases of the leader before may still run.
    pub fn open(now: Millis, timing: Timing) -> Self {
        Self {
            settles: now + lengthen(timing.feed_lease),
            feeders: BTreeMap::new(),
        }
    }

    /// Notes a report.
    pub fn record(&mut self, feeder: DaemonId, record: FeederRecord) {
        self.feeders.insert(feeder, record);
    }

    /// Forgets feeders whose leases have ended.
    pub fn expire(&mut self, now: Millis) {
        self.feeders.retain(|_, record| now < record.until);
    }

    /// Counts the daemons that have applied `revision`, beside those of `own`.
    pub fn in_force(&self, now: Millis, revision: Revision, own: &FeederRecord) -> InForce {
        let live = self.feeders.values().filter(|r| now < r.until);
        let mut result = InForce {
            settled: now >= self.settles,
            ..InForce::default()
        };
        for record in live.chain([own]) {
            result.settled &= record.applied >= revision;
            for count in &record.counts {
                result.total += count.daemons;
                if count.revision >= revision {
                    result.applied += count.daemons;
                }
            }
        }
        result.pending = result.total - result.applied;
        result
    }
}
