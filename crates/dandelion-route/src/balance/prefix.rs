//! Which upstreams are likely to hold a prompt prefix in their cache.
//!
//! Fed by own dispatches, which are guesses, and by the engines' cache events, which come late
//! and with gaps. A gap makes all that was learned of the upstream before it void.

use std::collections::HashMap;
use std::collections::VecDeque;

use dandelion_protocol::ids::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::ticket::PrefixHash;

/// Most prefixes remembered; the longest unused go first.
pub const MAX_PREFIXES: usize = 50_000;

/// Most upstreams remembered for one prefix.
pub const MAX_HOLDERS: usize = 4;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub upstream: UpstreamId,
    /// Counts the engine's cache events from 1, so that gaps show.
    pub sequence: u64,
    /// The prefix.
    pub prefix: PrefixHash,
    /// Whether it is now held, or was evicted.
    pub held: bool,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    holders: Vec<(u32, u32)>,
    used: u64,
}

/// Prefix holders by slot number.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<PrefixHash, Entry>,
    order: VecDeque<(u64, PrefixHash)>,
    epochs: HashMap<u32, (u32, u64)>,
    clock: u64,
}

impl PrefixIndex {
    /// Notes that `slot` was sent a request with `prefix`, or reports it as held.
    pub fn learn(&mut self, prefix: PrefixHash, slot: u32) {
        let epoch = self.epoch(slot);
        self.clock += 1;
        let entry = self.entries.entry(prefix).or_default();
        entry.used = self.clock;
        entry.holders.retain(|(held, _)| *held != slot);
        entry.holders.insert(0, (slot, epoch));
        entry.holders.truncate(MAX_HOLDERS);
        self.order.push_back((self.clock, prefix));
        self.trim();
    }

    /// Notes that `slot` no longer holds `prefix`.
    pub fn unlearn(&mut self, prefix: PrefixHash, slot: u32) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.holders.retain(|(held, _)| *held != slot);
        }
    }

    /// Takes in a cache event of `slot`; an old one changes nothing, a gap voids what is known.
    pub fn apply(&mut self, slot: u32, event: &CacheEvent) {
        let (_, last) = *self.epochs.entry(slot).or_default();
        if event.sequence <= last {
            return;
        }
        if event.sequence > last + 1 {
            self.void(slot);
        }
        self.epochs.entry(slot).or_default().1 = event.sequence;
        if event.held {
            self.learn(event.prefix, slot);
        } else {
            self.unlearn(event.prefix, slot);
        }
    }

    /// Makes all that is known of `slot` void, as after a gap.
    pub fn void(&mut self, slot: u32) {
        self.epochs.entry(slot).or_default().0 += 1;
    }

    /// Makes all that is known of `slot` void and expects its events from 1 again.
    pub fn reset(&mut self, slot: u32) {
        let epoch = self.epochs.entry(slot).or_default();
        *epoch = (epoch.0 + 1, 0);
    }

    /// Returns the likely holders, the most recent first.
    pub fn holders(&self, prefix: PrefixHash) -> impl Iterator<Item = u32> {
        let known = self.entries.get(&prefix).into_iter();
        known
            .flat_map(|entry| entry.holders.iter())
            .filter(|(slot, epoch)| self.epoch(*slot) == *epoch)
            .map(|(slot, _)| *slot)
    }

    /// Returns the number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn epoch(&self, slot: u32) -> u32 {
        self.epochs.get(&slot).map_or(0, |(epoch, _)| *epoch)
    }

    fn trim(&mut self) {
        while self.entries.len() > MAX_PREFIXES || self.order.len() > 2 * MAX_PREFIXES {
            let Some((used, prefix)) = self.order.pop_front() else {
                return;
            };
            if self.entries.get(&prefix).is_some_and(|e| e.used == used) {
                self.entries.remove(&prefix);
            }
        }
    }
}
