//! Decides which reports of upstreams a control daemon forwards to the leaders.
//!
//! Load condition: in a cell of 3,000 upstreams, each reporting every 1.2 s, forwarding every report
//! to two leaders is 5,000 mesh messages a second. The leaders need news at once; of an unchanged
//! upstream they only need to know, well within the time after which it counts as silent, that it
//! still reports.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::time::Millis;

/// Number of upstreams of a cell up to which every report is forwarded. 1,024 upstreams make at most
/// 1,700 messages a second; cells of 998 upstreams work with that (`docs/CAPACITY.md`).
pub const MAX_UNFILTERED: usize = 1_024;

/// Longest time for which an unchanged upstream's reports are not forwarded. Three in a row can be
/// lost before the leader counts the upstream as silent, after 15 s.
pub const KEEP_ALIVE: Millis = Millis(3_500);

/// Time without a report after which nothing is remembered of an upstream.
const RETENTION: Millis = Millis(15_000);

/// Most upstreams that are remembered; reports of further ones are all forwarded.
const MAX_REMEMBERED: usize = 32_768;

#[derive(Debug, Clone, Copy)]
struct Forwarded {
    /// Digest of what the report said and of who received it.
    digest: u64,
    /// Whether the report was forwarded again after its last change, in case the first was lost.
    repeated: bool,
    at: Millis,
    reported: Millis,
}

/// What a control daemon has forwarded.
#[derive(Debug, Default)]
pub struct ReportForwards {
    forwarded: BTreeMap<UpstreamId, Forwarded>,
}

impl ReportForwards {
    /// Returns whether a report that arrives `now` is to be forwarded to `receivers`: if it or the
    /// receivers have changed, once more after that, and every [`KEEP_ALIVE`]. In a cell of at most
    /// [`MAX_UNFILTERED`] upstreams, always. `upstreams` is the number of those in the cell.
    pub fn is_due(
        &mut self,
        now: Millis,
        report: &IncarnationReport,
        receivers: &[Option<DaemonId>],
        upstreams: usize,
    ) -> bool {
        let digest = digest(report, receivers);
        let filtered = upstreams > MAX_UNFILTERED;
        let id = &report.life.id;
        let Some(last) = self.forwarded.get_mut(id) else {
            if self.forwarded.len() < MAX_REMEMBERED {
                let first = Forwarded {
                    digest,
                    repeated: false,
                    at: now,
                    reported: now,
                };
                self.forwarded.insert(id.clone(), first);
            }
            return true;
        };
        last.reported = now;
        let changed = last.digest != digest;
        let due = changed || !filtered || !last.repeated || now.since(last.at) >= KEEP_ALIVE;
        if due {
            last.repeated = !changed;
            last.digest = digest;
            last.at = now;
        }
        due
    }

    /// Forgets upstreams that no longer report to this daemon.
    pub fn expire(&mut self, now: Millis) {
        self.forwarded
            .retain(|_, last| now.since(last.reported) < RETENTION);
    }
}

fn digest(report: &IncarnationReport, receivers: &[Option<DaemonId>]) -> u64 {
    let life = &report.life;
    let mut hasher = DefaultHasher::new();
    (life.born.0, life.service.as_str(), life.address).hash(&mut hasher);
    (life.zone.as_str(), life.slots, life.ready, &life.software).hash(&mut hasher);
    report.versions.hash(&mut hasher);
    for daemon in receivers {
        daemon.as_ref().map(DaemonId::as_str).hash(&mut hasher);
    }
    hasher.finish()
}
