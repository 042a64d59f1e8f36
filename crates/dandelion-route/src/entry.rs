//! Choice of an owner by an entry daemon, from digests and own counts.

use std::collections::BTreeMap;

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

/// Load that an owner may have over the mean to be chosen by prefix, in thousandths.
pub const BOUND_PERMILLE: u64 = 1250;

/// Queue for each slot, in thousandths, at which a zone counts as full and work spills over.
pub const SPILL_PERMILLE: u64 = 2000;

/// Advantage in load that another zone must have over the own one, as a factor.
pub const SPILL_FACTOR: u64 = 2;

/// Age at which a digest no longer counts.
pub const STALE_AFTER: Millis = Millis::from_secs(45);

/// Why an owner was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is the home of the prompt's prefix.
    Prefix,
    /// It was the less loaded of two.
    TwoChoices,
    /// It runs the isolated trials of this content.
    Trial,
    /// The own zone has no upstream or is full.
    Spill,
}

/// An owner to send a request to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Owner, or the entry daemon of another zone.
    pub owner: DaemonId,
    /// Why.
    pub reason: Reason,
}

/// What an owner must be chosen for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a ServiceId,
    /// Prompt prefix.
    pub prefix: Option<PrefixHash>,
    /// Content, if it is a suspect.
    pub suspect: Option<Fingerprint>,
    /// Whether it may go to another zone; false for one that already did.
    pub may_spill: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    slots: u64,
    known: u64,
    sent: u64,
    open: u64,
    upstreams: u32,
}

impl Load {
    /// Returns requests running and waiting: as told, with what was sent since; never less than
    /// what this entry itself has there.
    fn requests(&self) -> u64 {
        (self.known + self.sent).max(self.open)
    }

    fn permille(&self) -> u64 {
        (self.requests() + 1) * 1000 / self.slots.max(1)
    }
}

#[derive(Debug, Clone)]
struct Owner {
    zone: ZoneId,
    position: (Incarnation, u64),
    heard: Millis,
    loads: BTreeMap<ServiceTag, Load>,
}

/// The owners known to an entry.
#[derive(Debug)]
pub struct EntryView {
    zone: ZoneId,
    owners: BTreeMap<DaemonId, Owner>,
    suspects: Suspects,
}

impl EntryView {
    /// Opens the view of an entry in `zone`.
    pub fn open(zone: ZoneId) -> Self {
        Self {
            zone,
            owners: BTreeMap::new(),
            suspects: Suspects::default(),
        }
    }

    /// Takes in notes on suspects, the own daemon's included.
    pub fn hear_notes(&mut self, now: Millis, notes: &[SuspectNote]) {
        self.suspects.tick(now);
        for note in notes {
            self.suspects.hear(now, *note);
        }
    }

    /// Returns the fingerprint if it is a suspect, for [`Wanted::suspect`].
    pub fn suspect(&self, fingerprint: Fingerprint) -> Option<Fingerprint> {
        let mark = self.suspects.mark(fingerprint);
        mark.is_some().then_some(fingerprint)
    }

    /// Returns the part of a service's slots that `owner` has, in thousandths and at least one:
    /// against the owners of the own zone and the greatest figure told of each other zone.
    pub fn share(&self, now: Millis, service: &ServiceId, owner: &DaemonId) -> u32 {
        let tag = ServiceTag::of(service);
        let near = self.candidates(now, tag, |zone| *zone == self.zone);
        let own = near.iter().find(|(id, _)| *id == owner);
        let Some((_, own)) = own else {
            return 1;
        };
        let mut far: BTreeMap<&ZoneId, u64> = BTreeMap::new();
        for (id, load) in self.candidates(now, tag, |zone| *zone != self.zone) {
            let most = far.entry(&self.owners[id].zone).or_default();
            *most = load.slots.max(*most);
        }
        let near: u64 = near.iter().map(|(_, load)| load.slots).sum();
        let all = near + far.values().sum::<u64>();
        (own.slots * 1000).div_ceil(all) as u32
    }

    /// Takes in a digest; an older one than known changes nothing.
    pub fn hear(&mut self, now: Millis, from: &DaemonId, zone: &ZoneId, digest: &OwnerDigest) {
        let position = (digest.boot, digest.sequence);
        let old = self.owners.get(from);
        if old.is_some_and(|owner| owner.position >= position) {
            return;
        }
        let opened = |tag| {
            let load = old.and_then(|owner| owner.loads.get(&tag));
            load.map_or(0, |load| load.open)
        };
        let services = digest.services.iter().filter(|_| !digest.leaving);
        let loads = services
            .map(|service| (service.tag, load_of(service, opened(service.tag))))
            .collect();
        let owner = Owner {
            zone: zone.clone(),
            position,
            heard: now,
            loads,
        };
        self.owners.insert(from.clone(), owner);
    }

    /// Forgets a daemon that has left or is out of reach.
    pub fn forget(&mut self, owner: &DaemonId) {
        self.owners.remove(owner);
    }

    /// Returns the slots of a service over all owners that are known now.
    pub fn slots(&self, now: Millis, service: &ServiceId) -> u64 {
        let tag = ServiceTag::of(service);
        let candidates = self.candidates(now, tag, |_| true);
        candidates.iter().map(|(_, load)| load.slots).sum()
    }

    /// Counts a request sent to an owner.
    pub fn begin(&mut self, owner: &DaemonId, service: &ServiceId) {
        if let Some(load) = self.load_mut(owner, service) {
            load.sent += 1;
            load.open += 1;
        }
    }

    /// Counts the end of a request at an owner.
    pub fn end(&mut self, owner: &DaemonId, service: &ServiceId) {
        if let Some(load) = self.load_mut(owner, service) {
            load.sent = load.sent.saturating_sub(1);
            load.open = load.open.saturating_sub(1);
        }
    }

    /// Sums up the own zone for the daemons of other zones, who may send work to this entry.
    pub fn zone_digest(&self, now: Millis, boot: Incarnation, sequence: u64) -> OwnerDigest {
        let mut sums: BTreeMap<ServiceTag, ServiceDigest> = BTreeMap::new();
        let fresh = self
            .owners
            .values()
            .filter(|owner| self.is_near(now, owner));
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

    fn is_near(&self, now: Millis, owner: &Owner) -> bool {
        owner.zone == self.zone && now.since(owner.heard) < STALE_AFTER
    }

    fn load_mut(&mut self, owner: &DaemonId, service: &ServiceId) -> Option<&mut Load> {
        let owner = self.owners.get_mut(owner)?;
        owner.loads.get_mut(&ServiceTag::of(service))
    }

    /// Chooses an owner: in the own zone, unless it has no upstream or is full and another zone
    /// is much less loaded.
    pub fn pick_owner<R>(&self, now: Millis, wanted: &Wanted<'_>, rng: &mut R) -> Option<Choice>
    where
        R: Rng,
    {
        let tag = ServiceTag::of(wanted.service);
        let near = self.candidates(now, tag, |zone| *zone == self.zone);
        if let Some(fingerprint) = wanted.suspect {
            let owner = trial_owner(fingerprint, near.iter().map(|(id, _)| *id));
            return owner.map(|id| choice(id, Reason::Trial));
        }
        if wanted.may_spill {
            let spill = self.pick_far(now, tag, &near, rng);
            if spill.is_some() {
                return spill;
            }
        }
        let home = wanted.prefix.and_then(|prefix| pick_home(&near, prefix));
        home.or_else(|| two_choices(&near, rng).map(|id| choice(id, Reason::TwoChoices)))
    }

    fn candidates<F>(&self, now: Millis, tag: ServiceTag, wanted: F) -> Vec<(&DaemonId, Load)>
    where
        F: Fn(&ZoneId) -> bool,
    {
        let fresh = self
            .owners
            .iter()
            .filter(|(_, owner)| wanted(&owner.zone) && now.since(owner.heard) < STALE_AFTER);
        fresh
            .filter_map(|(id, owner)| Some((id, *owner.loads.get(&tag)?)))
            .filter(|(_, load)| load.slots > 0)
            .collect()
    }

    fn pick_far<R>(
        &self,
        now: Millis,
        tag: ServiceTag,
        near: &[(&DaemonId, Load)],
        rng: &mut R,
    ) -> Option<Choice>
    where
        R: Rng,
    {
        let own = mean(near);
        if own.is_some_and(|load| load < SPILL_PERMILLE) {
            return None;
        }
        let far = self.candidates(now, tag, |zone| *zone != self.zone);
        let id = two_choices(&far, rng)?;
        let (_, load) = far.iter().find(|(other, _)| *other == id)?;
        let better = own.is_none_or(|own| load.permille() * SPILL_FACTOR < own);
        better.then(|| choice(id, Reason::Spill))
    }
}

fn load_of(digest: &ServiceDigest, open: u64) -> Load {
    Load {
        slots: u64::from(digest.slots),
        known: u64::from(digest.inflight) + u64::from(digest.queued),
        sent: 0,
        open,
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

/// Returns requests for each slot over all candidates, in thousandths.
fn mean(candidates: &[(&DaemonId, Load)]) -> Option<u64> {
    let slots: u64 = candidates.iter().map(|(_, load)| load.slots).sum();
    let requests: u64 = candidates.iter().map(|(_, load)| load.requests()).sum();
    (slots > 0).then(|| requests * 1000 / slots)
}

/// Returns the prefix's home if it has a free slot or is not much more loaded than the mean.
fn pick_home(candidates: &[(&DaemonId, Load)], prefix: PrefixHash) -> Option<Choice> {
    let key = prefix.0.to_le_bytes();
    let (id, load) = candidates.iter().max_by_key(|(id, _)| weight(&key, id))?;
    let bound = mean(candidates)? * BOUND_PERMILLE / 1000;
    let light = load.requests() < load.slots || load.permille() <= bound;
    light.then(|| choice(id, Reason::Prefix))
}

/// Draws two candidates by their slots and returns the less loaded one.
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
    let lighter = if second.1.permille() < first.1.permille() {
        second
    } else {
        first
    };
    Some(lighter.0)
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
