//! What the leader knows of the feeders and their daemons.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::message::AppliedCount;
use crate::node::status::InForce;
use crate::raft::Fault;
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

/// One life of a feeder. Leases of an earlier life run on after a restart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportSource {
    /// Feeder.
    pub feeder: DaemonId,
    /// Life of its process.
    pub life: u64,
}

#[derive(Debug, Clone)]
struct Numbered {
    nonce: u64,
    record: FeederRecord,
}

/// Reports of all feeders under a lease.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Until when leases given under an earlier leader may run.
    settles: Millis,
    feeders: BTreeMap<ReportSource, Numbered>,
    fault: Option<Fault>,
}

impl Ledger {
    /// Starts at the beginning of a leadership, when leases of the leader before may still run.
    pub fn open(now: Millis, timing: Timing, fault: Option<Fault>) -> Self {
        let settling = match fault {
            Some(Fault::SkipLeaseWait) => Millis::ZERO,
            _ => lengthen(timing.feed_lease),
        };
        Self {
            settles: now + settling,
            feeders: BTreeMap::new(),
            fault,
        }
    }

    /// Notes a report, unless a later one of the same life is known.
    pub fn record(&mut self, source: ReportSource, nonce: u64, record: FeederRecord) -> bool {
        let known = self.feeders.get(&source);
        let late = known.is_some_and(|known| known.nonce >= nonce);
        if late && self.fault != Some(Fault::LateReports) {
            return false;
        }
        self.feeders.insert(source, Numbered { nonce, record });
        true
    }

    /// Forgets feeders whose leases have ended.
    pub fn expire(&mut self, now: Millis) {
        self.feeders.retain(|_, known| now < known.record.until);
    }

    /// Counts the daemons that have applied `revision`, beside those of `own`.
    pub fn in_force(&self, now: Millis, revision: Revision, own: &FeederRecord) -> InForce {
        let records = self.feeders.values().map(|known| &known.record);
        let live = records.filter(|r| now < r.until);
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
