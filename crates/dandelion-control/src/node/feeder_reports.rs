//! The feeders' reports to the leader, from which it counts the daemons that have applied a
//! revision.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::message::AppliedCount;
use crate::node::status::Propagation;
use crate::raft::Fault;
use crate::timing::Timing;
use crate::timing::lengthen;

/// Latest report of one feeder.
#[derive(Debug, Clone)]
pub struct FeederRecord {
    /// When all leases that the feeder may have granted have ended.
    pub until: Millis,
    /// Revision that the feeder has applied.
    pub applied: Revision,
    /// Revisions that its daemons have applied.
    pub counts: Vec<AppliedCount>,
}

/// One incarnation of a feeder. Leases granted by an earlier incarnation stay valid after a
/// restart, so each incarnation is recorded separately.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportSource {
    /// Daemon that feeds.
    pub feeder: DaemonId,
    /// Incarnation of its process, as in the report.
    pub incarnation: u64,
}

#[derive(Debug, Clone)]
struct LatestReport {
    nonce: u64,
    record: FeederRecord,
}

/// Reports of all feeders whose leases may be unexpired.
#[derive(Debug, Default)]
pub struct FeederReports {
    /// Time until which leases granted under an earlier leader may be unexpired.
    grace_end: Millis,
    feeders: BTreeMap<ReportSource, LatestReport>,
    fault: Option<Fault>,
}

impl FeederReports {
    /// Starts without reports at the beginning of a leadership, when leases granted under the
    /// previous leader may be unexpired.
    pub fn open(now: Millis, timing: Timing, fault: Option<Fault>) -> Self {
        let grace_period = match fault {
            Some(Fault::SkipLeaseWait) => Millis::ZERO,
            _ => lengthen(timing.feed_lease),
        };
        Self {
            grace_end: now + grace_period,
            feeders: BTreeMap::new(),
            fault,
        }
    }

    /// Records a report and returns true, unless one at least as late is known of the same
    /// incarnation.
    pub fn record(&mut self, source: ReportSource, nonce: u64, record: FeederRecord) -> bool {
        let known = self.feeders.get(&source);
        let late = known.is_some_and(|known| known.nonce >= nonce);
        if late && self.fault != Some(Fault::LateReports) {
            return false;
        }
        self.feeders.insert(source, LatestReport { nonce, record });
        true
    }

    /// Removes feeders whose leases have ended.
    pub fn expire(&mut self, now: Millis) {
        self.feeders.retain(|_, known| now < known.record.until);
    }

    /// Counts the daemons that have applied `revision`. `own` is the leader's record of itself as a
    /// feeder.
    pub fn propagation(&self, now: Millis, revision: Revision, own: &FeederRecord) -> Propagation {
        let records = self.feeders.values().map(|known| &known.record);
        let live = records.filter(|r| now < r.until);
        let mut result = Propagation {
            settled: now >= self.grace_end,
            ..Propagation::default()
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
