//! Which upstreams are likely to hold a prompt prefix in their cache.
//!
//! Built from this owner's dispatches, after which the prefix is only probably cached, and from the
//! engines' cache events, which arrive late and with gaps. A gap invalidates everything known about
//! that upstream's cache.

use std::collections::HashMap;
use std::collections::VecDeque;

use dandelion_protocol::ids::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::ticket::PrefixHash;

/// Most prefixes in the index; the least recently used ones are dropped first.
pub const MAX_PREFIXES: usize = 50_000;

/// Most holders per prefix; the most recent ones stay.
pub const MAX_HOLDERS: usize = 4;

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Engine whose cache changed.
    pub upstream: UpstreamId,
    /// Number of the event among the engine's cache events, from 1, so that gaps can be detected.
    pub sequence: u64,
    /// Prefix that was cached or evicted.
    pub prefix: PrefixHash,
    /// True if the prefix is now cached, false if it was evicted.
    pub held: bool,
}

#[derive(Debug, Clone, Default)]
struct PrefixEntry {
    holders: Vec<(u32, u32)>,
    last_used: u64,
}

/// Likely holders of each prefix, by the index of their slot in the pool.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    entries: HashMap<PrefixHash, PrefixEntry>,
    lru: VecDeque<(u64, PrefixHash)>,
    epochs: HashMap<u32, (u32, u64)>,
    clock: u64,
}

impl PrefixIndex {
    /// Adds `slot` as the most recent holder of `prefix`, after a dispatch to it or an event of it.
    pub fn add_holder(&mut self, prefix: PrefixHash, slot: u32) {
        let epoch = self.epoch(slot);
        self.clock += 1;
        let entry = self.entries.entry(prefix).or_default();
        entry.last_used = self.clock;
        entry.holders.retain(|(held, _)| *held != slot);
        entry.holders.insert(0, (slot, epoch));
        entry.holders.truncate(MAX_HOLDERS);
        self.lru.push_back((self.clock, prefix));
        self.trim();
    }

    /// Removes `slot` from the holders of `prefix`.
    pub fn remove_holder(&mut self, prefix: PrefixHash, slot: u32) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.holders.retain(|(held, _)| *held != slot);
        }
    }

    /// Applies a cache event of `slot`. An old event is ignored; a gap invalidates what is known.
    pub fn apply(&mut self, slot: u32, event: &CacheEvent) {
        let (_, last) = *self.epochs.entry(slot).or_default();
        if event.sequence <= last {
            return;
        }
        if event.sequence > last + 1 {
            self.invalidate(slot);
        }
        self.epochs.entry(slot).or_default().1 = event.sequence;
        if event.held {
            self.add_holder(event.prefix, slot);
        } else {
            self.remove_holder(event.prefix, slot);
        }
    }

    /// Invalidates all that is known of `slot`, as after a gap.
    pub fn invalidate(&mut self, slot: u32) {
        self.epochs.entry(slot).or_default().0 += 1;
    }

    /// Invalidates all that is known of `slot` and expects its events from 1 again.
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

    /// Returns the number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the index has no prefix.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn epoch(&self, slot: u32) -> u32 {
        self.epochs.get(&slot).map_or(0, |(epoch, _)| *epoch)
    }

    fn trim(&mut self) {
        while self.entries.len() > MAX_PREFIXES || self.lru.len() > 2 * MAX_PREFIXES {
            let Some((last_used, prefix)) = self.lru.pop_front() else {
                return;
            };
            if self
                .entries
                .get(&prefix)
                .is_some_and(|e| e.last_used == last_used)
            {
                self.entries.remove(&prefix);
            }
        }
    }
}
