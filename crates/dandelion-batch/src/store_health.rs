//! Which store daemons count as lost, so that others take over the result bodies on their disks.
//!
//! A store that does not answer usually comes back with its disk: its process restarts, its VM
//! stands still or the network is cut for some seconds. Copying its bodies to other disks would
//! then cost traffic between zones and help nobody. It counts as lost only if something else shows
//! that it has been replaced: another store has joined the cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;

/// Interval at which the stores are probed while they are watched; also the longest wait for an
/// answer.
pub const PROBE_PERIOD: Millis = Millis(400);

/// Time for which all stores are probed after a store has joined: a store that it replaces ended
/// before and misses the first probes.
const JOIN_WATCH: Millis = Millis(2_000);

/// Consecutive probes without an answer after which a store is lost if another one has joined.
const JOIN_MISSES: u32 = 2;

/// Time for which all stores are probed after this daemon has restarted. It does not know which
/// stores joined while it was down.
const RESTART_WATCH: Millis = Millis(5_000);

/// Consecutive probes without an answer after which a store is lost if this daemon has restarted:
/// longer than other stores that were killed at the same moment take to return.
const RESTART_MISSES: u32 = 8;

/// Time after a join in which a store that stops as planned counts as replaced by the store that
/// joined. A planned replacement starts the new store first.
const REPLACEMENT_WINDOW: Millis = Millis(10_000);

/// Time for which a store that has left the cell is remembered. A store that returns in it has
/// restarted and replaces none.
const DEPARTED_EXPIRY: Millis = Millis(600_000);

/// A period in which all stores are probed.
#[derive(Debug, Clone, Copy)]
struct Watch {
    /// End of the period.
    until: Millis,
    /// Consecutive probes without an answer after which a store is lost.
    misses: u32,
}

/// What is known of one store.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// Latest consecutive probes without an answer.
    missed: u32,
    /// Whether it stops as planned and has been replaced.
    replaced: bool,
    /// Whether it did not answer and another store has joined.
    lost: bool,
}

/// A change of what is believed of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthChange {
    /// The store counts as lost from now on.
    Lost(DaemonId),
    /// The store no longer counts as lost.
    Returned(DaemonId),
}

/// Believed state of the stores, from the cell's members and from probes. The times are steps of the
/// sum in `docs/design/copies.md`, which is below the time that a replacement has until the next loss;
/// none of them is a grace for stores that return.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// The other stores of the cell; none before the first members are known.
    stores: Option<BTreeMap<DaemonId, Contact>>,
    /// Stores that have left the cell, with the time of it.
    departed: BTreeMap<DaemonId, Millis>,
    watch: Option<Watch>,
    /// Whether this daemon started with an empty folder after the cell's first start.
    is_new: bool,
    /// When a store last joined.
    joined: Option<Millis>,
}

impl StoreHealth {
    /// Creates the state of a store that has just started. `is_new` is set if its folder is empty
    /// and this is not the cell's first start: then something was lost.
    pub fn open(is_new: bool) -> Self {
        Self {
            is_new,
            ..Self::default()
        }
    }

    /// Takes over the other stores among the members and returns what changes.
    pub fn update<'a, I>(&mut self, others: I, now: Millis) -> Vec<HealthChange>
    where
        I: IntoIterator<Item = &'a Member>,
    {
        let others: Vec<&Member> = others.into_iter().collect();
        if others.is_empty() && self.stores.is_none() {
            return Vec::new();
        }
        let is_restart = self.stores.is_none() && !self.is_new;
        let mut known = self.stores.take().unwrap_or_default();
        let is_added =
            |m: &&Member| !known.contains_key(&m.id) && !self.departed.contains_key(&m.id);
        let has_joined = others.iter().any(is_added);
        if is_restart {
            self.begin_watch(now + RESTART_WATCH, RESTART_MISSES);
        } else if has_joined {
            self.joined = Some(now);
            self.begin_watch(now + JOIN_WATCH, JOIN_MISSES);
        }
        let is_recent = self.joined.is_some_and(|at| now < at + REPLACEMENT_WINDOW);
        let mut changes = Vec::new();
        let mut stores = BTreeMap::new();
        for member in others {
            let mut contact = known.remove(&member.id).unwrap_or_default();
            let was_lost = contact.is_lost();
            contact.replaced = member.leaving && (contact.replaced || is_recent);
            changes.extend(contact.change(&member.id, was_lost));
            stores.insert(member.id.clone(), contact);
            self.departed.remove(&member.id);
        }
        self.departed.extend(known.into_keys().map(|id| (id, now)));
        self.departed.retain(|_, at| now < *at + DEPARTED_EXPIRY);
        self.stores = Some(stores);
        changes
    }

    fn begin_watch(&mut self, until: Millis, misses: u32) {
        let watch = self.watch.get_or_insert(Watch { until, misses });
        watch.until = watch.until.max(until);
        watch.misses = watch.misses.min(misses);
    }

    /// Returns the stores to be probed: all of them while they are watched, otherwise those whose
    /// last probe had no answer.
    pub fn to_probe(&self, now: Millis) -> Vec<DaemonId> {
        let is_watched = self.watch.is_some_and(|watch| now < watch.until);
        let stores = self.stores.iter().flatten();
        let probed = stores.filter(|(_, contact)| is_watched || contact.missed > 0);
        probed.map(|(id, _)| id.clone()).collect()
    }

    /// Records a round of probes and returns what changes. Probes without an answer tell nothing of
    /// the stores if this daemon reaches at most half of them: it may itself be cut off.
    pub fn record(&mut self, probed: &[DaemonId], answered: &[DaemonId]) -> Vec<HealthChange> {
        let Some(stores) = &mut self.stores else {
            return Vec::new();
        };
        let silent: BTreeSet<&DaemonId> =
            probed.iter().filter(|id| !answered.contains(id)).collect();
        let count = stores.len() + 1;
        let is_cut_off = 2 * count.saturating_sub(silent.len()) <= count;
        let limit = self.watch.map_or(JOIN_MISSES, |watch| watch.misses);
        let mut changes = Vec::new();
        for (id, contact) in stores.iter_mut().filter(|(id, _)| probed.contains(id)) {
            let was_lost = contact.is_lost();
            if !silent.contains(id) {
                contact.missed = 0;
                contact.lost = false;
            } else if !is_cut_off {
                contact.missed += 1;
                contact.lost |= contact.missed >= limit;
            }
            changes.extend(contact.change(id, was_lost));
        }
        changes
    }

    /// Returns the number of stores that count as lost.
    pub fn lost_count(&self) -> usize {
        let stores = self.stores.iter().flat_map(BTreeMap::values);
        stores.filter(|contact| contact.is_lost()).count()
    }

    /// Returns whether a store counts as lost.
    pub fn is_lost(&self, store: &DaemonId) -> bool {
        let stores = self.stores.as_ref();
        let contact = stores.and_then(|stores| stores.get(store));
        contact.is_some_and(|contact| contact.is_lost())
    }
}

impl Contact {
    fn is_lost(self) -> bool {
        self.lost || self.replaced
    }

    fn change(self, id: &DaemonId, was_lost: bool) -> Option<HealthChange> {
        match (was_lost, self.is_lost()) {
            (false, true) => Some(HealthChange::Lost(id.clone())),
            (true, false) => Some(HealthChange::Returned(id.clone())),
            _ => None,
        }
    }
}
