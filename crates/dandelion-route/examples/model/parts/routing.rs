//! Scenario: many entries share upstreams in two ways, by owners that they choose from digests, and
//! by slots that are leased to the entries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::entry::EntryView;
use dandelion_route::entry::OwnerQuery;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use super::engine::Engine;
use super::owner::Owner;
use super::report::is_good;
use super::report::p99_ms;
use super::run::Decision;
use super::run::Ended;
use super::run::Policy;
use super::run::run;
use super::workload::Request;
use super::workload::Source;
use super::workload::draw;
use super::workload::mean_service_ms;

const DAEMONS: usize = 24;
const ENGINES_PER_DAEMON: usize = 8;
const SLOTS: u32 = 8;
const END_MS: u64 = 40_000;
const LOAD: f64 = 0.85;

/// Number of entries that an uneven balancer prefers, and the share of all requests that it sends
/// to them alone; it spreads the rest over all entries.
const HOT_ENTRIES: usize = 3;
const HOT_SHARE: f64 = 0.3;

/// Interval between two adjustments of the leases, in milliseconds.
const LEASE_MS: u64 = 2_000;

/// Entries that choose owners from digests; each daemon is an entry and an owner.
struct ByOwner {
    owners: Vec<Owner>,
    names: Vec<DaemonId>,
    views: Vec<EntryView>,
    schedules: Vec<DigestSchedule>,
    placements: BTreeMap<u64, (usize, usize)>,
    sequence: u64,
    skew: f64,
    rng: SmallRng,
}

fn service() -> ServiceId {
    "draft".parse().expect("name")
}

fn zone() -> ZoneId {
    "a".parse().expect("name")
}

impl ByOwner {
    fn open(seed: u64, skew: f64) -> Self {
        let owner = |n| Owner::open(n * ENGINES_PER_DAEMON, ENGINES_PER_DAEMON, SLOTS, false);
        let mut by_owner = Self {
            owners: (0..DAEMONS).map(owner).collect(),
            names: (0..DAEMONS)
                .map(|n| format!("d{n}").parse().expect("name"))
                .collect(),
            views: (0..DAEMONS).map(|_| EntryView::open(zone())).collect(),
            schedules: vec![DigestSchedule::default(); DAEMONS],
            placements: BTreeMap::new(),
            sequence: 0,
            skew,
            rng: SmallRng::seed_from_u64(seed),
        };
        let pairs = (0..DAEMONS).flat_map(|from| (0..DAEMONS).map(move |to| (from, to)));
        pairs.for_each(|(from, to)| by_owner.send_digest(0, from, to));
        by_owner
    }

    fn send_digest(&mut self, now: u64, from: usize, to: usize) {
        self.sequence += 1;
        let digest = OwnerDigest {
            boot: Incarnation(1),
            sequence: self.sequence,
            leaving: false,
            services: vec![ServiceDigest::of(&service(), &self.owners[from].queue)],
        };
        self.views[to].ingest(Millis(now), &self.names[from], &zone(), &digest);
    }
}

impl Policy for ByOwner {
    fn arrive(&mut self, now: u64, request: &Request, decisions: &mut Vec<Decision>) {
        let service = service();
        let entry = draw_entry(&mut self.rng, self.skew);
        let query = OwnerQuery {
            service: &service,
            prefix: None,
            suspect: None,
            may_spill: false,
            evacuated: &BTreeSet::new(),
        };
        let chosen = self.views[entry].pick_owner(Millis(now), &query, &mut self.rng);
        let Some(chosen) = chosen else {
            decisions.push(Decision::Refuse(request.id));
            return;
        };
        let found = self.names.iter().position(|name| *name == chosen.owner);
        let owner = found.expect("known owner");
        self.views[entry].begin(&chosen.owner, &service);
        self.placements.insert(request.id, (entry, owner));
        self.owners[owner].arrive(now, request, decisions);
    }

    fn finish(&mut self, now: u64, end: &Ended<'_>, decisions: &mut Vec<Decision>) {
        let Some((entry, owner)) = self.placements.remove(&end.request.id) else {
            return;
        };
        self.views[entry].end(&self.names[owner], &service());
        self.owners[owner].finish(now, end, decisions);
        // The model lets the answer carry the owner's digest back to the entry.
        self.send_digest(now, owner, entry);
    }

    fn tick(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        for n in 0..DAEMONS {
            self.owners[n].tick(now, decisions);
            for peer in self.schedules[n].due(Millis(now), DAEMONS - 1) {
                self.send_digest(now, n, (n + 1 + peer) % DAEMONS);
            }
        }
    }
}

/// Entries with leased slots; free slots are moved to entries with a queue at intervals.
struct ByLease {
    queues: Vec<VecDeque<(u64, u64)>>,
    free: Vec<Vec<usize>>,
    placements: BTreeMap<u64, (usize, usize)>,
    moved: usize,
    skew: f64,
    rng: SmallRng,
}

impl ByLease {
    fn open(seed: u64, skew: f64) -> Self {
        let mut free = vec![Vec::new(); DAEMONS];
        for slot in 0..DAEMONS * ENGINES_PER_DAEMON * SLOTS as usize {
            free[slot % DAEMONS].push(slot / SLOTS as usize);
        }
        Self {
            queues: vec![VecDeque::new(); DAEMONS],
            free,
            placements: BTreeMap::new(),
            moved: 0,
            skew,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn dispatch(&mut self, now: u64, entry: usize, decisions: &mut Vec<Decision>) {
        while let Some((id, deadline)) = self.queues[entry].front().copied() {
            if deadline <= now {
                self.queues[entry].pop_front();
                decisions.push(Decision::Refuse(id));
                continue;
            }
            let Some(engine) = self.free[entry].pop() else {
                return;
            };
            self.queues[entry].pop_front();
            self.placements.insert(id, (entry, engine));
            decisions.push(Decision::Send(id, engine));
        }
    }

    /// Moves free slots from entries without a queue to those with the longest queues.
    fn rebalance(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        loop {
            let donor = (0..DAEMONS)
                .filter(|n| self.queues[*n].is_empty())
                .max_by_key(|n| self.free[*n].len());
            let receiver = (0..DAEMONS)
                .filter(|n| self.queues[*n].len() > self.free[*n].len())
                .max_by_key(|n| self.queues[*n].len());
            let (Some(donor), Some(receiver)) = (donor, receiver) else {
                break;
            };
            if self.free[donor].len() < 2 {
                break;
            }
            let slot = self.free[donor].pop();
            self.free[receiver].extend(slot);
            self.moved += 1;
            self.dispatch(now, receiver, decisions);
        }
    }
}

impl Policy for ByLease {
    fn arrive(&mut self, now: u64, request: &Request, decisions: &mut Vec<Decision>) {
        let entry = draw_entry(&mut self.rng, self.skew);
        self.queues[entry].push_back((request.id, request.deadline));
        self.dispatch(now, entry, decisions);
    }

    fn finish(&mut self, now: u64, end: &Ended<'_>, decisions: &mut Vec<Decision>) {
        if let Some((entry, engine)) = self.placements.remove(&end.request.id) {
            self.free[entry].push(engine);
            self.dispatch(now, entry, decisions);
        }
    }

    fn tick(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        if now.is_multiple_of(LEASE_MS) {
            self.rebalance(now, decisions);
        }
    }
}

fn serve<P>(requests: &[Request], policy: &mut P) -> Value
where
    P: Policy,
{
    let engines = vec![Engine::new(0); DAEMONS * ENGINES_PER_DAEMON];
    let outcome = run(requests, policy, engines, SLOTS);
    let good = requests.iter().filter(|r| is_good(r, &outcome)).count();
    let waits = requests
        .iter()
        .filter_map(|r| Some(outcome.results[r.id as usize].sent?.1 - r.at));
    let (count, sum) = waits.fold((0, 0), |(count, sum), wait| (count + 1, sum + wait));
    json!({
        "good_share": good as f64 / requests.len() as f64,
        "mean_wait_ms": sum as f64 / f64::from(count.max(1)),
        "p99_ms": p99_ms(requests, &outcome, |_| true),
    })
}

/// Draws the entry at which a request arrives.
fn draw_entry(rng: &mut SmallRng, skew: f64) -> usize {
    let hot = rng.random::<f64>() < skew;
    rng.random_range(0..if hot { HOT_ENTRIES } else { DAEMONS })
}

/// Runs both policies on the same requests, with an even and an uneven balancer.
pub fn measure(seed: u64) -> Value {
    let slots = (DAEMONS * ENGINES_PER_DAEMON) as f64 * f64::from(SLOTS);
    let rate = slots * 1000.0 / mean_service_ms() * LOAD;
    let source = Source {
        team: 0,
        class: Class::Interactive,
        rate: |_: u64| rate,
    };
    let requests = draw(seed, END_MS, 1 << 40, &[source]);
    json!({
        "even": compare(seed, 0.0, &requests),
        "skewed": compare(seed, HOT_SHARE, &requests),
    })
}

fn compare(seed: u64, skew: f64, requests: &[Request]) -> Value {
    let mut leases = ByLease::open(seed, skew);
    json!({
        "by_owner": serve(requests, &mut ByOwner::open(seed, skew)),
        "by_lease": serve(requests, &mut leases),
        "leases_moved_each_s": leases.moved as f64 * 1000.0 / END_MS as f64,
    })
}
