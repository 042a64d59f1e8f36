//! The table of limits that upstreams name on the requests that they take.
//!
//! A limit holds for all daemons together, and only the answers to some of them name it, so every
//! daemon with a lease has this table.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::limits::LimitReport;
use dandelion_protocol::limits::NamedLimit;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most limits. Beyond it the one of the upstream that started earliest is forgotten; upstreams
/// that have ended stay until then.
const MAX_LIMITS: usize = 1_024;

/// Limits by upstream. Each is that of the upstream's newest incarnation that has named one.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct LimitsTable {
    limits: BTreeMap<UpstreamId, NamedLimit>,
}

impl LimitsTable {
    /// Borrows the limits by upstream.
    pub fn limits(&self) -> &BTreeMap<UpstreamId, NamedLimit> {
        &self.limits
    }

    fn report(&mut self, report: LimitReport) {
        let is_outdated = |known: &NamedLimit| {
            known.born > report.born || (known.born == report.born && known.seen > report.seen)
        };
        if self.limits.get(&report.upstream).is_some_and(is_outdated) {
            return;
        }
        let Some(rate) = report.rate else {
            self.limits.remove(&report.upstream);
            return;
        };
        let limit = NamedLimit {
            born: report.born,
            rate,
            seen: report.seen,
        };
        self.limits.insert(report.upstream, limit);
        if self.limits.len() > MAX_LIMITS {
            let oldest = self.limits.iter().min_by_key(|(_, limit)| limit.born);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.limits.remove(&id);
            }
        }
    }
}

impl Table for LimitsTable {
    const NAME: &'static str = "limits";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = LimitReport;
    type Reply = ();

    /// Records what an answer said, unless a later answer or incarnation is known.
    fn apply(&mut self, _: &ApplyContext<'_>, report: LimitReport) -> Result<(), Rejection> {
        self.report(report);
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static LIMITS: TableEntry = TableEntry::of::<LimitsTable>();
