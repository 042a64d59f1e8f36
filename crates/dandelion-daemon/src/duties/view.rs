//! What the control leader has heard of upstreams and demand.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelion_protocol::fleet::DemandReport;
use dandelion_protocol::fleet::Inventory;
use dandelion_protocol::fleet::UpstreamReport;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

/// Age at which a daemon's report no longer counts.
const STALE_AFTER: Millis = Millis::from_secs(20);

#[derive(Debug)]
struct Heard {
    at: Millis,
    inventory: Inventory,
}

/// Newest report of each daemon.
#[derive(Debug, Default)]
pub struct FleetView {
    reports: Mutex<BTreeMap<DaemonId, Heard>>,
}

/// Demand for one service over all daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Interactive requests running and waiting.
    pub interactive: u32,
    /// Rollout requests running and wanted.
    pub rollout: u32,
}

impl FleetView {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DaemonId, Heard>> {
        self.reports.lock().expect("no holder of this lock panics")
    }

    /// Takes in a daemon's report.
    pub fn ingest(&self, now: Millis, from: DaemonId, inventory: Inventory) {
        let mut reports = self.lock();
        reports.retain(|_, heard| now.since(heard.at) < STALE_AFTER);
        reports.insert(from, Heard { at: now, inventory });
    }

    /// Returns the daemons that reported lately.
    pub fn reporters(&self, now: Millis) -> BTreeSet<DaemonId> {
        let reports = self.lock();
        let fresh = reports
            .iter()
            .filter(|(_, h)| now.since(h.at) < STALE_AFTER);
        fresh.map(|(id, _)| id.clone()).collect()
    }

    /// Returns every upstream once, as its latest reporter sees it.
    pub fn upstreams(&self, now: Millis) -> BTreeMap<UpstreamId, UpstreamReport> {
        let reports = self.lock();
        let mut fresh: Vec<&Heard> = reports.values().collect();
        fresh.retain(|h| now.since(h.at) < STALE_AFTER);
        fresh.sort_by_key(|h| h.at);
        let all = fresh.iter().flat_map(|h| &h.inventory.upstreams);
        all.map(|u| (u.upstream.clone(), u.clone())).collect()
    }

    /// Returns the daemon that last reported an upstream as its own.
    pub fn owner(&self, upstream: &UpstreamId) -> Option<DaemonId> {
        let reports = self.lock();
        let owns = |heard: &Heard| {
            let own = &heard.inventory.upstreams;
            own.iter().any(|u| &u.upstream == upstream)
        };
        let owners = reports.iter().filter(|(_, heard)| owns(heard));
        owners
            .max_by_key(|(_, heard)| heard.at)
            .map(|(id, _)| id.clone())
    }

    /// Returns the demand for a service.
    pub fn demand(&self, now: Millis, service: &ServiceId) -> Demand {
        let reports = self.lock();
        let fresh = reports.values().filter(|h| now.since(h.at) < STALE_AFTER);
        let rows = fresh.flat_map(|h| &h.inventory.demand);
        let mut sum = Demand::default();
        for row in rows.filter(|r: &&DemandReport| &r.service == service) {
            sum.interactive += row.interactive;
            sum.rollout += row.rollout;
        }
        sum
    }
}
