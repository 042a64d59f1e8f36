//! Tests that the swap planner stays within its limits and trusts only reported versions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_rollout::weights::Artifact;
use dandelion_rollout::weights::SwapAction;
use dandelion_rollout::weights::SwapEvent;
use dandelion_rollout::weights::SwapPlanner;
use dandelion_rollout::weights::SwapSettings;
use dandelion_rollout::weights::WeightSource;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENGINES: u64 = 24;

const SETTINGS: SwapSettings = SwapSettings {
    store_permits: 3,
    peer_fanout: 2,
    swap_permille: 250,
    fetch_timeout: Millis(5000),
    swap_timeout: Millis(4000),
    max_failures: 3,
    quarantine: Millis(8000),
    backoff: Millis(500),
};

fn artifact(job: &str, version: u64) -> Artifact {
    Artifact {
        job: job.parse().unwrap(),
        version: WeightVersion(version),
    }
}

fn engine(index: u64) -> UpstreamId {
    format!("engine-{index}").parse().unwrap()
}

fn zone(index: u64) -> ZoneId {
    format!("zone-{}", index % 3).parse().unwrap()
}

/// Simulated engines with two jobs each, whose orders may fail, be lost or be falsely
/// acknowledged.
struct Fleet {
    planner: SwapPlanner,
    now: u64,
    rng: StdRng,
    boots: BTreeMap<UpstreamId, u64>,
    loaded: BTreeMap<(UpstreamId, JobId), u64>,
    fetching: BTreeMap<UpstreamId, (Artifact, WeightSource)>,
    swapping: BTreeMap<UpstreamId, Artifact>,
    holders: BTreeSet<(UpstreamId, JobId, u64)>,
    quarantined: BTreeSet<UpstreamId>,
    /// Time of each engine's last order.
    orders: BTreeMap<UpstreamId, u64>,
    /// Chance of each fault, in thousandths.
    faults: u32,
}

impl Fleet {
    fn open(seed: u64, faults: u32) -> Self {
        let mut fleet = Self {
            planner: SwapPlanner::open(SETTINGS),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            boots: BTreeMap::new(),
            loaded: BTreeMap::new(),
            fetching: BTreeMap::new(),
            swapping: BTreeMap::new(),
            holders: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            orders: BTreeMap::new(),
            faults,
        };
        for index in 0..ENGINES {
            fleet.boots.insert(engine(index), 1);
            for job in ["a", "b"] {
                fleet
                    .loaded
                    .insert((engine(index), job.parse().unwrap()), 0);
            }
            fleet.announce(index);
        }
        fleet
    }

    fn fails(&mut self) -> bool {
        self.faults > 0 && self.rng.random_range(0..1000) < self.faults
    }

    fn announce(&mut self, index: u64) {
        let name = engine(index);
        let loaded = ["a", "b"].map(|job| {
            let version = self.loaded[&(name.clone(), job.parse().unwrap())];
            artifact(job, version)
        });
        self.handle(SwapEvent::Reported {
            boot: Incarnation(self.boots[&name]),
            upstream: name,
            zone: zone(index),
            loaded: loaded.to_vec(),
        });
    }

    fn handle(&mut self, event: SwapEvent) {
        let mut actions = Vec::new();
        self.planner.handle(Millis(self.now), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: SwapAction) {
        if let SwapAction::Fetch { upstream, .. } | SwapAction::Swap { upstream, .. } = &action {
            self.orders.insert(upstream.clone(), self.now);
        }
        match action {
            SwapAction::Fetch {
                upstream,
                artifact,
                source,
            } => {
                if let WeightSource::Peer(peer) = &source {
                    let key = (peer.clone(), artifact.job.clone(), artifact.version.0);
                    assert!(self.holders.contains(&key), "{peer} has no {artifact:?}");
                }
                self.fetching.insert(upstream, (artifact, source));
                self.check_limits();
            }
            SwapAction::Swap { upstream, artifact } => {
                let key = (upstream.clone(), artifact.job.clone(), artifact.version.0);
                assert!(self.holders.contains(&key), "{upstream} has not fetched it");
                self.swapping.insert(upstream, artifact);
                self.check_limits();
            }
            SwapAction::Quarantine { upstream, .. } => assert!(self.quarantined.insert(upstream)),
            SwapAction::Readmit { upstream } => assert!(self.quarantined.remove(&upstream)),
        }
    }

    fn check_limits(&self) {
        let store = self
            .fetching
            .values()
            .filter(|(_, from)| *from == WeightSource::Store);
        assert!(
            store.count() <= SETTINGS.store_permits,
            "too many store fetches"
        );
        let mut serving: BTreeMap<&UpstreamId, usize> = BTreeMap::new();
        for (_, from) in self.fetching.values() {
            if let WeightSource::Peer(peer) = from {
                *serving.entry(peer).or_default() += 1;
            }
        }
        assert!(serving.values().all(|count| *count <= SETTINGS.peer_fanout));
        for index in 0..3 {
            let names = (index..ENGINES).step_by(3).map(engine);
            let busy = names
                .filter(|name| self.swapping.contains_key(name))
                .count();
            assert!(busy <= 2, "{busy} of 8 engines of a zone swap at once");
        }
    }

    /// Orders have the planner's timeout as their deadline, so engines abort them by then.
    fn expire(&mut self) {
        let now = self.now;
        let orders = &self.orders;
        let fetch_over = |at: u64| now >= at + SETTINGS.fetch_timeout.0;
        let swap_over = |at: u64| now >= at + SETTINGS.swap_timeout.0;
        self.fetching.retain(|name, _| !fetch_over(orders[name]));
        self.swapping.retain(|name, _| !swap_over(orders[name]));
    }

    fn step(&mut self) {
        self.now += 250;
        self.expire();
        self.handle(SwapEvent::Tick);
        let index = self.rng.random_range(0..ENGINES);
        let name = engine(index);
        if self.fails() {
            self.restart(&name);
        }
        if let Some((artifact, _)) = self.fetching.remove(&name) {
            self.end_fetch(&name, artifact);
        } else if let Some(artifact) = self.swapping.remove(&name) {
            self.end_swap(&name, artifact);
        }
        self.announce(index);
    }

    fn restart(&mut self, name: &UpstreamId) {
        *self.boots.get_mut(name).unwrap() += 1;
        self.fetching.remove(name);
        self.swapping.remove(name);
        // Loaded weights survive the restart; weights that were only fetched are lost.
        let loaded = &self.loaded;
        self.holders.retain(|(holder, job, version)| {
            holder != name || loaded.get(&(holder.clone(), job.clone())) == Some(version)
        });
        let peer = WeightSource::Peer(name.clone());
        let aborted: Vec<UpstreamId> = self
            .fetching
            .iter()
            .filter(|(_, (_, from))| *from == peer)
            .map(|(fetcher, _)| fetcher.clone())
            .collect();
        // Fetches from it are aborted, which the planner detects by timeout.
        for fetcher in aborted {
            self.fetching.remove(&fetcher);
        }
    }

    fn end_fetch(&mut self, name: &UpstreamId, artifact: Artifact) {
        let done = !self.fails();
        if done {
            let key = (name.clone(), artifact.job.clone(), artifact.version.0);
            self.holders.insert(key);
        }
        self.handle(SwapEvent::Fetched {
            upstream: name.clone(),
            artifact,
            done,
        });
    }

    fn end_swap(&mut self, name: &UpstreamId, artifact: Artifact) {
        let upstream = name.clone();
        if self.fails() {
            self.handle(SwapEvent::SwapFailed { upstream, artifact });
            return;
        }
        // With a fault the swap is acknowledged but the old version stays loaded.
        if !self.fails() {
            let key = (name.clone(), artifact.job.clone());
            self.loaded.insert(key, artifact.version.0);
        }
        self.handle(SwapEvent::SwapAnswered { upstream, artifact });
    }

    fn behind(&self, version: u64) -> usize {
        self.loaded
            .values()
            .filter(|loaded| **loaded < version)
            .count()
    }
}

fn publish(fleet: &mut Fleet, job: &str, version: u64) {
    fleet.handle(SwapEvent::Published {
        artifact: artifact(job, version),
    });
}

#[test]
fn limits_hold() {
    for seed in 0..60 {
        let mut fleet = Fleet::open(seed, 60);
        for version in 1..=3 {
            publish(&mut fleet, "a", version);
            publish(&mut fleet, "b", version);
            // The next version is published before every engine has the last one.
            for _ in 0..60 {
                fleet.step();
            }
        }
        fleet.faults = 0;
        for _ in 0..1500 {
            fleet.step();
        }
        assert_eq!(fleet.behind(3), 0, "seed {seed}");
        assert_eq!(fleet.planner.current() as u64, ENGINES, "seed {seed}");
        assert!(
            fleet.quarantined.is_empty(),
            "seed {seed}: {:?}",
            fleet.quarantined
        );
    }
}

#[test]
fn false_answer() {
    let mut fleet = Fleet::open(1, 0);
    publish(&mut fleet, "a", 1);
    for _ in 0..400 {
        fleet.now += 250;
        fleet.handle(SwapEvent::Tick);
        for (name, (artifact, _)) in std::mem::take(&mut fleet.fetching) {
            fleet.end_fetch(&name, artifact);
        }
        for (upstream, artifact) in std::mem::take(&mut fleet.swapping) {
            fleet.handle(SwapEvent::SwapAnswered { upstream, artifact });
        }
        for index in 0..ENGINES {
            fleet.announce(index);
        }
    }
    assert_eq!(fleet.planner.current(), 0);
    assert_eq!(fleet.quarantined.len() as u64, ENGINES);
}

#[test]
fn lost_orders() {
    let mut fleet = Fleet::open(1, 0);
    publish(&mut fleet, "a", 1);
    assert_eq!(fleet.fetching.len(), SETTINGS.store_permits);
    // No order is answered; permits are freed by timeout and reused.
    let first: Vec<UpstreamId> = fleet.fetching.keys().cloned().collect();
    fleet.fetching.clear();
    fleet.now += SETTINGS.fetch_timeout.0;
    fleet.handle(SwapEvent::Tick);
    assert_eq!(fleet.fetching.len(), SETTINGS.store_permits);
    assert!(first.iter().all(|name| !fleet.fetching.contains_key(name)));
}
