//! The upstreams that this daemon owns, and a queue for each of their services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;

use dandelion_protocol::config::Config;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_route::queue::QueueEvent;
use dandelion_route::registry::Change;
use dandelion_route::registry::Record;
use dandelion_route::registry::Registry;

use crate::core::Handle;
use crate::serve::shard::Shard;

/// Share of a service's slots, in thousandths, of an owner that has them all.
const FULL_SHARE: u32 = 1000;

/// The upstreams that this daemon owns, and the queues of their services.
#[derive(Debug, Default)]
pub struct OwnedUpstreams {
    core: OnceLock<Handle>,
    registry: Mutex<Registry>,
    shards: RwLock<BTreeMap<ServiceId, Arc<Shard>>>,
}

impl OwnedUpstreams {
    /// Attaches the daemon's shared state, which contains this value; only the first call has an
    /// effect.
    pub fn attach(&self, core: Handle) {
        let _first = self.core.set(core);
    }

    /// Returns the queue of a service, and creates it if it does not exist.
    pub fn shard(&self, service: &ServiceId) -> Arc<Shard> {
        let known = self.shards.read().expect("no holder of this lock panics");
        if let Some(shard) = known.get(service) {
            return Arc::clone(shard);
        }
        drop(known);
        let mut shards = self.shards.write().expect("no holder of this lock panics");
        let shard = shards
            .entry(service.clone())
            .or_insert_with(|| Arc::new(Shard::open(service)));
        Arc::clone(shard)
    }

    /// Returns all queues with their services.
    pub fn shards(&self) -> Vec<(ServiceId, Arc<Shard>)> {
        let shards = self.shards.read().expect("no holder of this lock panics");
        shards
            .iter()
            .map(|(service, shard)| (service.clone(), Arc::clone(shard)))
            .collect()
    }

    /// Handles an announcement of an upstream that this daemon owns.
    pub fn announced(&self, now: Millis, announcement: Announcement) {
        let service = announcement.service.clone();
        let change = self.registry().accept(now, announcement);
        if let Some(change) = change {
            self.shard(&service)
                .handle(now, QueueEvent::Upstream(change));
        }
    }

    /// Applies drains, team limits and blocked fingerprints of the configuration.
    pub fn set_config(&self, now: Millis, config: &Config) {
        let changes = self.changes_by_service(|registry| registry.set_drains(&config.drains));
        self.notify_queues(now, changes);
        for (service, shard) in self.shards() {
            shard.set_config(now, config, self.share(now, &service));
        }
    }

    /// Returns this owner's share of a service's slots, in thousandths. The owner enforces the same
    /// share of each team's limits.
    fn share(&self, now: Millis, service: &ServiceId) -> u32 {
        let own = |core: &Handle| {
            let owners = core.entry.owners();
            owners.share(now, service, &core.identity.daemon)
        };
        self.core.get().map_or(FULL_SHARE, own)
    }

    /// Advances the time of the registry and of all queues, so that timeouts take effect.
    pub fn tick(&self, now: Millis) {
        let changes = self.changes_by_service(|registry| registry.tick(now));
        self.notify_queues(now, changes);
        for (_, shard) in self.shards() {
            shard.handle(now, QueueEvent::Tick);
        }
    }

    /// Releases the upstreams for which `is_own` is false: another daemon owns them now.
    pub fn release_others<F>(&self, now: Millis, is_own: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        let foreign: Vec<UpstreamId> = self
            .registry()
            .records()
            .map(|r| r.last.upstream.clone())
            .filter(|u| !is_own(u))
            .collect();
        for upstream in foreign {
            let changes =
                self.changes_by_service(|r| r.release(now, &upstream).into_iter().collect());
            self.notify_queues(now, changes);
        }
    }

    /// Returns the address of an upstream, if it is still the incarnation `boot`.
    pub fn address(&self, upstream: &UpstreamId, boot: Incarnation) -> Option<SocketAddr> {
        let registry = self.registry();
        let record = registry.get(upstream).filter(|r| r.last.boot == boot)?;
        record.last.address.parse().ok()
    }

    /// Returns copies of the records of all owned upstreams.
    pub fn records(&self) -> Vec<Record> {
        self.registry().records().cloned().collect()
    }

    fn registry(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().expect("no holder of this lock panics")
    }

    /// Runs `change` on the registry and returns its changes, each with the service of the
    /// upstream.
    fn changes_by_service<F>(&self, change: F) -> Vec<(ServiceId, Change)>
    where
        F: FnOnce(&mut Registry) -> Vec<Change>,
    {
        let mut registry = self.registry();
        let services: BTreeMap<UpstreamId, ServiceId> = registry
            .records()
            .map(|r| (r.last.upstream.clone(), r.last.service.clone()))
            .collect();
        let changes = change(&mut registry);
        changes
            .into_iter()
            .filter_map(|change| {
                let service = services.get(upstream_of(&change))?;
                Some((service.clone(), change))
            })
            .collect()
    }

    fn notify_queues(&self, now: Millis, changes: Vec<(ServiceId, Change)>) {
        for (service, change) in changes {
            self.shard(&service)
                .handle(now, QueueEvent::Upstream(change));
        }
    }
}

fn upstream_of(change: &Change) -> &UpstreamId {
    match change {
        Change::Joined(announcement) | Change::Reported(announcement) => &announcement.upstream,
        Change::Leaving(upstream) | Change::Silent(upstream) | Change::Gone(upstream) => upstream,
    }
}
