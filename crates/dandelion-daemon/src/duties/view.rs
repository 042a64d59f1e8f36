//! Reports on upstreams and demand that the control leader has received.

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

/// Age at which a daemon's report is ignored and dropped.
const STALE_AFTER: Millis = Millis::from_secs(20);

/// A report and the time at which it was received.
#[derive(Debug)]
struct Received {
    at: Millis,
    inventory: Inventory,
}

/// Newest report of each daemon.
#[derive(Debug, Default)]
pub struct FleetView {
    reports: Mutex<BTreeMap<DaemonId, Received>>,
}

/// Demand for one service, summed over all daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Interactive requests running and queued.
    pub interactive: u32,
    /// Samples requested by rollout jobs.
    pub rollout: u32,
}

impl FleetView {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<DaemonId, Received>> {
        self.reports.lock().expect("no holder of this lock panics")
    }

    /// Stores a daemon's report in place of its previous one.
    pub fn ingest(&self, now: Millis, from: DaemonId, inventory: Inventory) {
        let mut reports = self.lock();
        reports.retain(|_, received| now.since(received.at) < STALE_AFTER);
        reports.insert(from, Received { at: now, inventory });
    }

    /// Returns the daemons that reported within `STALE_AFTER`.
    pub fn reporters(&self, now: Millis) -> BTreeSet<DaemonId> {
        let reports = self.lock();
        let fresh = reports
            .iter()
            .filter(|(_, r)| now.since(r.at) < STALE_AFTER);
        fresh.map(|(id, _)| id.clone()).collect()
    }

    /// Returns every upstream with its state in the newest report that has it.
    pub fn upstreams(&self, now: Millis) -> BTreeMap<UpstreamId, UpstreamReport> {
        let reports = self.lock();
        let mut fresh: Vec<&Received> = reports.values().collect();
        fresh.retain(|r| now.since(r.at) < STALE_AFTER);
        fresh.sort_by_key(|r| r.at);
        let all = fresh.iter().flat_map(|r| &r.inventory.upstreams);
        all.map(|u| (u.upstream.clone(), u.clone())).collect()
    }

    /// Returns the daemon that last reported an upstream as owned.
    pub fn owner(&self, upstream: &UpstreamId) -> Option<DaemonId> {
        let reports = self.lock();
        let owns = |received: &Received| {
            let own = &received.inventory.upstreams;
            own.iter().any(|u| &u.upstream == upstream)
        };
        let owners = reports.iter().filter(|(_, received)| owns(received));
        owners
            .max_by_key(|(_, received)| received.at)
            .map(|(id, _)| id.clone())
    }

    /// Returns the demand for a service, by reports that are not older than `STALE_AFTER`.
    pub fn demand(&self, now: Millis, service: &ServiceId) -> Demand {
        let reports = self.lock();
        let fresh = reports.values().filter(|r| now.since(r.at) < STALE_AFTER);
        let rows = fresh.flat_map(|r| &r.inventory.demand);
        let mut sum = Demand::default();
        for row in rows.filter(|r: &&DemandReport| &r.service == service) {
            sum.interactive += row.interactive;
            sum.rollout += row.rollout;
        }
        sum
    }
}
