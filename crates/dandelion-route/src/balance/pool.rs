//! The upstreams of one service at their owner, indexed by load.
//!
//! A choice examines the head of an ordered index and a few prefix holders, so that its cost does
//! not grow with the number of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;

use crate::balance::health::State;
use crate::balance::latency::LatencyHistogram;
use crate::balance::prefix::PrefixIndex;
use crate::balance::slot::Slot;
use crate::ticket::PrefixHash;

/// Greatest share of a pool's upstreams that may be out of the rotation by ejection, in
/// thousandths; always at least one if the pool has two or more.
pub const MAX_EJECTED_PERMILLE: usize = 300;

/// Load up to which a prefix holder is accepted, in thousandths of the mean load.
pub const LOAD_BOUND_PERMILLE: u64 = 1250;

/// Load up to which a prefix holder is always accepted, in thousandths of its limit.
pub const HOLDER_PERMILLE: u32 = 500;

/// An upstream is slow if its latency is more than this many times the pool's median.
pub const SLOW_FACTOR: u64 = 3;

/// Samples needed before an upstream can count as slow.
pub const SLOW_SAMPLES: u32 = 8;

/// Samples of the pool needed before any upstream can count as slow.
pub const POOL_SAMPLES: u32 = 32;

/// Interval at which the counts of the latency histogram are halved.
pub const DECAY_INTERVAL: Millis = Millis::from_secs(10);

/// What the end of a request says about its upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// A clean answer, with its latency per token in microseconds.
    Clean(u64),
    /// The upstream failed to answer.
    Failed,
    /// The upstream refused the request as overloaded.
    Congested,
    /// Nothing: the request was cancelled, or its connection was replaced.
    Neutral,
}

/// Why an upstream was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectReason {
    /// Consecutive failures, or a failed probe.
    Failures,
    /// Latency far above the pool's median.
    Slow,
}

/// Upstreams of one service with their load index.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) slots: Vec<Option<Slot>>,
    pub(super) vacant: Vec<u32>,
    pub(super) current: BTreeMap<UpstreamId, u32>,
    pub(super) by_load: BTreeSet<(u32, u64, u32)>,
    pub(super) load_keys: Vec<Option<(u32, u64)>>,
    pub(super) timers: BTreeSet<(Millis, u32)>,
    pub(super) warming: BTreeSet<u32>,
    pub(super) prefixes: PrefixIndex,
    pub(super) latencies: LatencyHistogram,
    pub(super) median: u64,
    pub(super) last_decay: Millis,
    pub(super) sequence: u64,
    pub(super) inflight: u32,
    pub(super) shared_capacity: u64,
    pub(super) capacity: u64,
    pub(super) open: usize,
    pub(super) unhealthy: usize,
    pub(super) examined: u64,
}

impl Pool {
    /// Changes one slot and updates the totals and the load index accordingly.
    pub(super) fn update<F>(&mut self, now: Millis, index: u32, change: F)
    where
        F: FnOnce(&mut Slot),
    {
        let Some(slot) = &mut self.slots[index as usize] else {
            return;
        };
        let before = Totals::of(slot);
        change(slot);
        let after = Totals::of(slot);
        self.add(&after);
        self.subtract(&before);
        self.reindex(now, index);
    }

    pub(super) fn add(&mut self, part: &Totals) {
        self.shared_capacity += part.shared;
        self.capacity += part.capacity;
        self.open += part.open;
        self.unhealthy += part.unhealthy;
        self.inflight += part.inflight;
    }

    pub(super) fn subtract(&mut self, part: &Totals) {
        self.shared_capacity -= part.shared;
        self.capacity -= part.capacity;
        self.open -= part.open;
        self.unhealthy -= part.unhealthy;
        self.inflight -= part.inflight;
    }

    pub(super) fn reindex(&mut self, now: Millis, index: u32) {
        if let Some((score, sequence)) = self.load_keys[index as usize].take() {
            self.by_load.remove(&(score, sequence, index));
        }
        let Some(slot) = &self.slots[index as usize] else {
            return;
        };
        if slot.is_free() {
            self.sequence += 1;
            let key = (slot.score(now), self.sequence);
            self.load_keys[index as usize] = Some(key);
            self.by_load.insert((key.0, key.1, index));
        }
    }

    /// Chooses a free upstream: a holder of the prefix within its load bound, else the one with
    /// the least load.
    pub fn pick(&mut self, prefix: Option<PrefixHash>) -> Option<u32> {
        let least = self.by_load.first().map(|(_, _, index)| *index)?;
        self.examined += 1;
        let Some(prefix) = prefix else {
            return Some(least);
        };
        let mut examined = 0;
        let holder = self
            .prefixes
            .holders(prefix)
            .inspect(|_| examined += 1)
            .find(|index| self.is_within_bound(*index));
        self.examined += examined;
        holder.or(Some(least))
    }

    /// Chooses a free upstream for a request that continues what this version of the software has
    /// generated: the one of that version with the least load, else like [`Pool::pick`].
    pub fn pick_for(
        &mut self,
        prefix: Option<PrefixHash>,
        software: &SoftwareVersion,
    ) -> Option<u32> {
        let mut examined = 0;
        let fits = |index: u32| {
            let slot = self.slot(index);
            slot.is_some_and(|slot| software.may_continue_at(&slot.software))
        };
        let free = self.by_load.iter().map(|(_, _, index)| *index);
        let same = software
            .is_known()
            .then(|| free.inspect(|_| examined += 1).find(|index| fits(*index)));
        self.examined += examined;
        same.flatten().or_else(|| self.pick(prefix))
    }

    pub(super) fn is_within_bound(&self, index: u32) -> bool {
        let Some(slot) = self.slot(index).filter(|slot| slot.is_free()) else {
            return false;
        };
        let open = self.current.len().max(1) as u64;
        let mean = (u64::from(self.inflight) + 1) * LOAD_BOUND_PERMILLE;
        let bound = mean.div_ceil(open * 1000);
        let floor = slot.limit.get() * HOLDER_PERMILLE / 1000;
        u64::from(slot.inflight) < bound.max(u64::from(floor))
    }

    /// Reserves the least loaded upstream for an isolated request; it gets no shared work.
    pub fn reserve(&mut self, now: Millis) -> Option<u32> {
        let index = self.by_load.first().map(|(_, _, index)| *index)?;
        self.update(now, index, |slot| slot.reserved = true);
        Some(index)
    }

    /// Ends a reservation.
    pub fn unreserve(&mut self, now: Millis, index: u32) {
        self.update(now, index, |slot| slot.reserved = false);
    }

    /// Returns whether an upstream has no requests and can get work.
    pub fn is_idle(&self, index: u32) -> bool {
        self.slot(index)
            .is_some_and(|slot| slot.inflight == 0 && slot.open && slot.health.accepts_work())
    }

    /// Returns whether an upstream cannot get work, or is gone.
    pub fn is_unusable(&self, index: u32) -> bool {
        !self
            .slot(index)
            .is_some_and(|slot| slot.open && slot.health.accepts_work())
    }

    /// Counts a request sent to an upstream.
    pub fn begin(&mut self, now: Millis, index: u32, prefix: Option<PrefixHash>) {
        self.update(now, index, Slot::begin);
        if let Some(prefix) = prefix {
            self.prefixes.add_holder(prefix, index);
        }
    }

    /// Counts the end of a request; returns why the upstream was ejected, if it was.
    pub fn end(&mut self, now: Millis, index: u32, signal: HealthSignal) -> Option<EjectReason> {
        let reason = self.apply_signal(now, index, signal);
        self.update(now, index, Slot::end);
        let reason = reason.filter(|_| self.may_eject(index));
        if reason.is_some() {
            self.eject(now, index);
        }
        self.reclaim(index);
        reason
    }

    /// Borrows a slot.
    pub fn slot(&self, index: u32) -> Option<&Slot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Iterates over the upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.current.values().filter_map(|index| self.slot(*index))
    }

    /// Returns whether some upstream can get a shared request now.
    pub fn has_free(&self) -> bool {
        !self.by_load.is_empty()
    }

    /// Returns the number of upstreams that are not removed.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    /// Returns whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Returns the sum of the concurrency limits of the upstreams that can get work, those reserved
    /// for isolated requests included.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the sum of the concurrency limits of the upstreams that can get shared work.
    pub fn shared_capacity(&self) -> u64 {
        self.shared_capacity
    }

    /// Returns whether some upstream with capacity is neither leaving nor silent. It may be full,
    /// ejected or reserved for isolated requests.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Returns the number of requests at upstreams.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Returns the number of candidates that all choices so far have examined.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}

/// Contribution of one slot to the totals of its pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Totals {
    shared: u64,
    capacity: u64,
    open: usize,
    unhealthy: usize,
    inflight: u32,
}

impl Totals {
    pub(super) fn of(slot: &Slot) -> Self {
        let works = slot.open && slot.health.accepts_work();
        let capacity = if works { u64::from(slot.allowed()) } else { 0 };
        Self {
            shared: if slot.reserved { 0 } else { capacity },
            capacity,
            open: usize::from(slot.open),
            unhealthy: usize::from(is_unhealthy(slot)),
            inflight: slot.inflight,
        }
    }
}

/// Returns whether a slot counts towards the cap on ejections: ejected, half-open or down.
pub(super) fn is_unhealthy(slot: &Slot) -> bool {
    !matches!(slot.health.state, State::Active { .. })
}
