//! Choice of an owner by an entry daemon, from the owners' digests and its own requests in flight.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::digest::OwnerDigest;
use crate::digest::ServiceDigest;
use crate::digest::ServiceTag;
use crate::ownership::weight;
use crate::poison::SuspectNote;
use crate::poison::Suspects;
use crate::poison::trial_owner;
use crate::ticket::Fingerprint;
use crate::ticket::PrefixHash;

/// Load up to which an owner without a free slot is chosen by prefix, in thousandths of the mean
/// load.
pub const LOAD_BOUND_PERMILLE: u64 = 1250;

/// Requests per slot, in thousandths, at which a zone counts as full and requests spill over to
/// other zones.
pub const SPILL_PERMILLE: u64 = 2000;

/// While the entry's zone has slots, an owner in another zone is chosen only if its load times this
/// factor is less than the load of the entry's zone.
pub const SPILL_FACTOR: u64 = 2;

/// Age at which a digest is ignored.
pub const STALE_AFTER: Millis = Millis::from_secs(45);

/// Why an owner was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It has the greatest rendezvous weight for the prompt's prefix.
    Prefix,
    /// It was the less loaded of two random candidates.
    TwoChoices,
    /// It runs the isolated trials of this content.
    Trial,
    /// It is in another zone, as the entry's zone has no upstream or is full.
    Spill,
}

/// The owner that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Owner, or the entry daemon of another zone.
    pub owner: DaemonId,
    /// Why it was chosen.
    pub reason: Reason,
}

/// What the choice of an owner depends on.
#[derive(Debug, Clone, Copy)]
pub struct OwnerQuery<'a> {
    /// Service that must serve the request.
    pub service: &'a ServiceId,
    /// Hash of the prompt's prefix, for cache affinity.
    pub prefix: Option<PrefixHash>,
    /// Fingerprint of the request if it is a suspect, see [`EntryView::suspect`].
    pub suspect: Option<Fingerprint>,
    /// Whether it may go to another zone; false for a request from another zone.
    pub may_spill: bool,
    /// Evacuated zones, whose owners are not chosen.
    pub evacuated: &'a BTreeSet<ZoneId>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    slots: u64,
    reported: u64,
    unreported: u64,
    in_flight: u64,
    upstreams: u32,
}

impl Load {
    /// Returns the requests running and waiting: those in the last digest plus those sent since,
    /// but at least this entry's own requests in flight.
    fn requests(&self) -> u64 {
        (self.reported + self.unreported).max(self.in_flight)
    }

    fn permille(&self) -> u64 {
        (self.requests() + 1) * 1000 / self.slots.max(1)
    }
}

#[derive(Debug, Clone)]
struct Owner {
    zone: ZoneId,
    position: (Incarnation, u64),
    received_at: Millis,
    loads: BTreeMap<ServiceTag, Load>,
}

/// Load of the owners as one entry knows it, and the suspects that it knows.
#[derive(Debug)]
pub struct EntryView {
    zone: ZoneId,
    owners: BTreeMap<DaemonId, Owner>,
    suspects: Suspects,
}

impl EntryView {
    /// Opens the empty view of an entry in `zone`.
    pub fn open(zone: ZoneId) -> Self {
        Self {
            zone,
            owners: BTreeMap::new(),
            suspects: Suspects::default(),
        }
    }

    /// Merges notes on suspects, those of this daemon included.
    pub fn ingest_notes(&mut self, now: Millis, notes: &[SuspectNote]) {
        self.suspects.tick(now);
        for note in notes {
            self.suspects.merge(now, *note);
        }
    }

    /// Returns the fingerprint if it is a suspect, for [`OwnerQuery::suspect`].
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Fingerprint> {
        let status = self.suspects.status(fingerprint);
        status.is_some().then_some(fingerprint)
    }

    /// Returns how many thousandths of a service's slots in the cell belong to `owner`, a daemon of
    /// this entry's zone; at least one. Each digest of another zone sums up that zone, so the
    /// greatest figure in them counts.
    pub fn share(&self, now: Millis, service: &ServiceId, owner: &DaemonId) -> u32 {
        let tag = ServiceTag::of(service);
        let local = self.candidates(now, tag, |zone| *zone == self.zone);
        let own = local.iter().find(|(id, _)| *id == owner);
        let Some((_, own)) = own else {
            return 1;
        };
        let mut remote: BTreeMap<&ZoneId, u64> = BTreeMap::new();
        for (id, load) in self.candidates(now, tag, |zone| *zone != self.zone) {
            let most = remote.entry(&self.owners[id].zone).or_default();
            *most = load.slots.max(*most);
        }
        let local: u64 = local.iter().map(|(_, load)| load.slots).sum();
        let all = local + remote.values().sum::<u64>();
        (own.slots * 1000).div_ceil(all) as u32
    }

    /// Applies a digest of the daemon `from` in `zone`; one that is not newer is ignored.
    pub fn ingest(&mut self, now: Millis, from: &DaemonId, zone: &ZoneId, digest: &OwnerDigest) {
        let position = (digest.boot, digest.sequence);
        let old = self.owners.get(from);
        if old.is_some_and(|owner| owner.position >= position) {
            return;
        }
        let in_flight_at = |tag| {
            let load = old.and_then(|owner| owner.loads.get(&tag));
            load.map_or(0, |load| load.in_flight)
        };
        let services = digest.services.iter().filter(|_| !digest.leaving);
        let loads = services
            .map(|service| (service.tag, load_of(service, in_flight_at(service.tag))))
            .collect();
        let owner = Owner {
            zone: zone.clone(),
            position,
            received_at: now,
            loads,
        };
        self.owners.insert(from.clone(), owner);
    }

    /// Removes a daemon that has departed or is unreachable, until its next digest.
    pub fn forget(&mut self, owner: &DaemonId) {
        self.owners.remove(owner);
    }

    /// Returns the slots of a service over all daemons with a fresh digest.
    pub fn slots(&self, now: Millis, service: &ServiceId) -> u64 {
        let tag = ServiceTag::of(service);
        let candidates = self.candidates(now, tag, |_| true);
        candidates.iter().map(|(_, load)| load.slots).sum()
    }

    /// Counts a request sent to an owner.
    pub fn begin(&mut self, owner: &DaemonId, service: &ServiceId) {
        if let Some(load) = self.load_mut(owner, service) {
            load.unreported += 1;
            load.in_flight += 1;
        }
    }

    /// Counts the end of a request at an owner.
    pub fn end(&mut self, owner: &DaemonId, service: &ServiceId) {
        if let Some(load) = self.load_mut(owner, service) {
            load.unreported = load.unreported.saturating_sub(1);
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Sums up this entry's zone for the daemons of other zones, which may send requests to this
    /// entry.
    pub fn zone_digest(&self, now: Millis, boot: Incarnation, sequence: u64) -> OwnerDigest {
        let mut sums: BTreeMap<ServiceTag, ServiceDigest> = BTreeMap::new();
        let fresh = self
            .owners
            .values()
            .filter(|owner| self.is_local(now, owner));
        for (tag, load) in fresh.flat_map(|owner| &owner.loads) {
            let sum = sums.entry(*tag).or_insert(empty_digest(*tag));
            let running = load.requests().min(load.slots);
            sum.slots = sum.slots.saturating_add(load.slots as u32);
            sum.inflight = sum.inflight.saturating_add(running as u32);
            sum.queued = sum
                .queued
                .saturating_add((load.requests() - running) as u32);
            sum.upstreams = sum.upstreams.saturating_add(load.upstreams);
        }
        OwnerDigest {
            boot,
            sequence,
            leaving: false,
            services: sums.into_values().collect(),
        }
    }

    fn is_local(&self, now: Millis, owner: &Owner) -> bool {
        owner.zone == self.zone && now.since(owner.received_at) < STALE_AFTER
    }

    fn load_mut(&mut self, owner: &DaemonId, service: &ServiceId) -> Option<&mut Load> {
        let owner = self.owners.get_mut(owner)?;
        owner.loads.get_mut(&ServiceTag::of(service))
    }

    /// Chooses an owner: one in this entry's zone, unless that has no upstream, or is full and
    /// another zone is much less loaded.
    pub fn pick_owner<R>(&self, now: Millis, query: &OwnerQuery<'_>, rng: &mut R) -> Option<Choice>
    where
        R: Rng,
    {
        let tag = ServiceTag::of(query.service);
        let serves = |zone: &ZoneId| !query.evacuated.contains(zone);
        let local = self.candidates(now, tag, |zone| *zone == self.zone && serves(zone));
        if let Some(fingerprint) = query.suspect {
            let owner = trial_owner(fingerprint, local.iter().map(|(id, _)| *id));
            return owner.map(|id| choice(id, Reason::Trial));
        }
        if query.may_spill {
            let spill = self.pick_remote(now, tag, query, &local, rng);
            if spill.is_some() {
                return spill;
            }
        }
        let by_prefix = query
            .prefix
            .and_then(|prefix| pick_by_prefix(&local, prefix));
        by_prefix.or_else(|| two_choices(&local, rng).map(|id| choice(id, Reason::TwoChoices)))
    }

    fn candidates<F>(&self, now: Millis, tag: ServiceTag, matches: F) -> Vec<(&DaemonId, Load)>
    where
        F: Fn(&ZoneId) -> bool,
    {
        let fresh = self.owners.iter().filter(|(_, owner)| {
            matches(&owner.zone) && now.since(owner.received_at) < STALE_AFTER
        });
        fresh
            .filter_map(|(id, owner)| Some((id, *owner.loads.get(&tag)?)))
            .filter(|(_, load)| load.slots > 0)
            .collect()
    }

    fn pick_remote<R>(
        &self,
        now: Millis,
        tag: ServiceTag,
        query: &OwnerQuery<'_>,
        local: &[(&DaemonId, Load)],
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let own = mean_load(local);
        if own.is_some_and(|load| load < SPILL_PERMILLE) {
            return None;
        }
        let serves = |zone: &ZoneId| *zone != self.zone && !query.evacuated.contains(zone);
        let remote = self.candidates(now, tag, serves);
        let id = two_choices(&remote, rng)?;
        let (_, load) = remote.iter().find(|(other, _)| *other == id)?;
        let better = own.is_none_or(|own| load.permille() * SPILL_FACTOR < own);
        better.then(|| choice(id, Reason::Spill))
    }
}

fn load_of(digest: &ServiceDigest, in_flight: u64) -> Load {
    Load {
        slots: u64::from(digest.slots),
        reported: u64::from(digest.inflight) + u64::from(digest.queued),
        unreported: 0,
        in_flight,
        upstreams: digest.upstreams,
    }
}

fn empty_digest(tag: ServiceTag) -> ServiceDigest {
    ServiceDigest {
        tag,
        slots: 0,
        inflight: 0,
        queued: 0,
        upstreams: 0,
    }
}

fn choice(owner: &DaemonId, reason: Reason) -> Choice {
    let owner = owner.clone();
    Choice { owner, reason }
}

/// Returns the requests per slot over all candidates, in thousandths.
fn mean_load(candidates: &[(&DaemonId, Load)]) -> Option<u64> {
    let slots: u64 = candidates.iter().map(|(_, load)| load.slots).sum();
    let requests: u64 = candidates.iter().map(|(_, load)| load.requests()).sum();
    (slots > 0).then(|| requests * 1000 / slots)
}

/// Returns the candidate with the greatest rendezvous weight for the prefix, if it has a free slot
/// or its load is within [`LOAD_BOUND_PERMILLE`] of the mean.
fn pick_by_prefix(candidates: &[(&DaemonId, Load)], prefix: PrefixHash) -> Option<Choice> {
    let key = prefix.0.to_le_bytes();
    let (id, load) = candidates.iter().max_by_key(|(id, _)| weight(&key, id))?;
    let bound = mean_load(candidates)? * LOAD_BOUND_PERMILLE / 1000;
    let acceptable = load.requests() < load.slots || load.permille() <= bound;
    acceptable.then(|| choice(id, Reason::Prefix))
}

/// Draws two candidates, weighted by their slots, and returns the less loaded one.
fn two_choices<'a, R>(candidates: &[(&'a DaemonId, Load)], rng: &mut R) -> Option<&'a DaemonId>
where
    R: Rng,
{
    let slots: u64 = candidates.iter().map(|(_, load)| load.slots).sum();
    if slots == 0 {
        return None;
    }
    let first = draw(candidates, rng.random_range(0..slots))?;
    let second = draw(candidates, rng.random_range(0..slots))?;
    let less_loaded = if second.1.permille() < first.1.permille() {
        second
    } else {
        first
    };
    Some(less_loaded.0)
}

fn draw<'a>(candidates: &[(&'a DaemonId, Load)], slot: u64) -> Option<(&'a DaemonId, Load)> {
    let mut rest = slot;
    for (id, load) in candidates {
        if rest < load.slots {
            return Some((id, *load));
        }
        rest -= load.slots;
    }
    None
}
