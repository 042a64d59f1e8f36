//! The upstreams of one service at their owner, indexed by load.
//!
//! A choice looks at the head of an ordered index and at a few prefix holders, whatever the
//! number of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::balance::health::State;
use crate::balance::latency::Latencies;
use crate::balance::prefix::PrefixIndex;
use crate::balance::slot::Slot;
use crate::ticket::PrefixHash;

/// Most upstreams out of the rotation by ejection, in thousandths; at least one of two or more.
pub const MAX_EJECTED_PERMILLE: usize = 300;

/// Load that a prefix holder may have over the mean, in thousandths.
pub const LOAD_BOUND_PERMILLE: u64 = 1250;

/// Load up to which a prefix holder is always accepted, in thousandths of its limit.
pub const HOLDER_PERMILLE: u32 = 500;

/// Latency over the pool's median at which an upstream counts as slow, as a factor.
pub const SLOW_FACTOR: u64 = 3;

/// Samples needed before an upstream can count as slow.
pub const SLOW_SAMPLES: u32 = 8;

/// Samples of the whole pool needed before any upstream can count as slow.
pub const POOL_SAMPLES: u32 = 32;

/// Time between two halvings of the latency distribution.
pub const FADE_EVERY: Millis = Millis::from_secs(10);

/// How a request at an upstream ended, as far as the upstream's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A clean answer; latency per token in microseconds.
    Clean(u64),
    /// The upstream failed to answer.
    Failed,
    /// The upstream turned the request away as overloaded.
    Congested,
    /// Says nothing about the upstream: cancelled, or its connection was replaced.
    Neutral,
}

/// Why an upstream left the rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectReason {
    /// Failures in a row, or a failed probe.
    Failures,
    /// Much slower than the others.
    Slow,
}

/// Upstreams of one service with their load index.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) slots: Vec<Option<Slot>>,
    pub(super) vacant: Vec<u32>,
    pub(super) current: BTreeMap<UpstreamId, u32>,
    pub(super) order: BTreeSet<(u32, u64, u32)>,
    pub(super) placed: Vec<Option<(u32, u64)>>,
    pub(super) timers: BTreeSet<(Millis, u32)>,
    pub(super) warming: BTreeSet<u32>,
    pub(super) prefixes: PrefixIndex,
    pub(super) latencies: Latencies,
    pub(super) median: u64,
    pub(super) faded: Millis,
    pub(super) turn: u64,
    pub(super) inflight: u32,
    pub(super) limits: u64,
    pub(super) capacity: u64,
    pub(super) open: usize,
    pub(super) ejected: usize,
    pub(super) examined: u64,
}

impl Pool {
    /// Changes one slot and keeps the totals and the index in step.
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
        self.place(now, index);
    }

    pub(super) fn add(&mut self, part: &Totals) {
        self.limits += part.shared;
        self.capacity += part.capacity;
        self.open += part.open;
        self.ejected += part.out;
        self.inflight += part.inflight;
    }

    pub(super) fn subtract(&mut self, part: &Totals) {
        self.limits -= part.shared;
        self.capacity -= part.capacity;
        self.open -= part.open;
        self.ejected -= part.out;
        self.inflight -= part.inflight;
    }

    pub(super) fn place(&mut self, now: Millis, index: u32) {
        if let Some((score, turn)) = self.placed[index as usize].take() {
            self.order.remove(&(score, turn, index));
        }
        let Some(slot) = &self.slots[index as usize] else {
            return;
        };
        if slot.is_free() {
            self.turn += 1;
            let key = (slot.score(now), self.turn);
            self.placed[index as usize] = Some(key);
            self.order.insert((key.0, key.1, index));
        }
    }

    /// Chooses a free upstream: a holder of the prefix within its load bound, else the one with
    /// the least load.
    pub fn pick(&mut self, prefix: Option<PrefixHash>) -> Option<u32> {
        let least = self.order.first().map(|(_, _, index)| *index)?;
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

    /// Keeps the least loaded upstream free of further work for an isolated request.
    pub fn reserve(&mut self, now: Millis) -> Option<u32> {
        let index = self.order.first().map(|(_, _, index)| *index)?;
        self.update(now, index, |slot| slot.reserved = true);
        Some(index)
    }

    /// Ends a reservation.
    pub fn unreserve(&mut self, now: Millis, index: u32) {
        self.update(now, index, |slot| slot.reserved = false);
    }

    /// Returns whether a reserved upstream is empty and can still take work.
    pub fn is_idle(&self, index: u32) -> bool {
        self.slot(index)
            .is_some_and(|slot| slot.inflight == 0 && slot.open && slot.health.takes_work())
    }

    /// Returns whether a reserved upstream can no longer take work.
    pub fn is_lost(&self, index: u32) -> bool {
        !self
            .slot(index)
            .is_some_and(|slot| slot.open && slot.health.takes_work())
    }

    /// Counts a request sent to an upstream.
    pub fn begin(&mut self, now: Millis, index: u32, prefix: Option<PrefixHash>) {
        self.update(now, index, Slot::begin);
        if let Some(prefix) = prefix {
            self.prefixes.learn(prefix, index);
        }
    }

    /// Counts the end of a request; returns why the upstream was ejected, if it was.
    pub fn end(&mut self, now: Millis, index: u32, verdict: Verdict) -> Option<EjectReason> {
        let reason = self.judge(now, index, verdict);
        self.update(now, index, Slot::end);
        let reason = reason.filter(|_| self.may_eject(index));
        if reason.is_some() {
            self.eject(now, index);
        }
        self.free(index);
        reason
    }

    /// Borrows a slot.
    pub fn slot(&self, index: u32) -> Option<&Slot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Iterates over the upstreams in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.current.values().filter_map(|index| self.slot(*index))
    }

    /// Returns whether some upstream is free.
    pub fn has_free(&self) -> bool {
        !self.order.is_empty()
    }

    /// Returns the number of upstreams that are not gone.
    pub fn len(&self) -> usize {
        self.current.len()
    }

    /// Returns whether there is no upstream.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// Returns the sum of the concurrency limits of the upstreams that take work, those kept free
    /// for isolated requests included.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the sum of the concurrency limits of the upstreams that take shared work.
    pub fn limits(&self) -> u64 {
        self.limits
    }

    /// Returns whether some upstream is neither leaving nor silent. It may be full, ejected or kept
    /// free for isolated requests.
    pub fn is_open(&self) -> bool {
        self.open > 0
    }

    /// Returns the requests at upstreams.
    pub fn inflight(&self) -> u32 {
        self.inflight
    }

    /// Returns the candidates looked at by all choices so far.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}

/// What one slot adds to the totals of its pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct Totals {
    shared: u64,
    capacity: u64,
    open: usize,
    out: usize,
    inflight: u32,
}

impl Totals {
    pub(super) fn of(slot: &Slot) -> Self {
        let works = slot.open && slot.health.takes_work();
        let capacity = if works { u64::from(slot.allowed()) } else { 0 };
        Self {
            shared: if slot.reserved { 0 } else { capacity },
            capacity,
            open: usize::from(slot.open),
            out: usize::from(is_out(slot)),
            inflight: slot.inflight,
        }
    }
}

/// Whether a slot counts against the cap on ejections.
pub(super) fn is_out(slot: &Slot) -> bool {
    !matches!(slot.health.state, State::Active { .. })
}
