//! Changes of a pool's upstreams: joins, reports, departures and crashes.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;

use crate::balance::health::SLOW_START;
use crate::balance::health::State;
use crate::balance::pool::Pool;
use crate::balance::pool::Totals;
use crate::balance::prefix::CacheEvent;
use crate::balance::slot::Slot;
use crate::registry::ANNOUNCE_INTERVAL;
use crate::registry::Change;

impl Pool {
    /// Applies a change of the registry. Returns the index of an earlier boot that ended without
    /// leaving while it had requests.
    pub fn apply(&mut self, now: Millis, change: &Change) -> Option<u32> {
        match change {
            Change::Joined(announcement) => return self.join(now, announcement),
            Change::Reported(announcement) => return self.report(now, announcement),
            Change::Leaving(id) => self.close(now, id, true),
            Change::Silent(id) => self.close(now, id, false),
            Change::Gone(id) => self.retire(now, id),
        }
        None
    }

    pub(super) fn join(&mut self, now: Millis, announcement: &Announcement) -> Option<u32> {
        let old = self.current.get(&announcement.upstream).copied();
        let interrupted =
            old.filter(|i| self.slot(*i).is_some_and(|s| s.inflight > 0 && !s.leaving));
        self.retire(now, &announcement.upstream);
        let warming = warming_since(now, announcement);
        let slot = Slot::new(announcement, warming);
        let index = self.insert(slot);
        self.current.insert(announcement.upstream.clone(), index);
        if warming.is_some() {
            self.warming.insert(index);
        }
        self.reindex(now, index);
        interrupted
    }

    pub(super) fn insert(&mut self, slot: Slot) -> u32 {
        self.add(&Totals::of(&slot));
        if let Some(index) = self.vacant.pop() {
            self.slots[index as usize] = Some(slot);
            return index;
        }
        self.slots.push(Some(slot));
        self.load_keys.push(None);
        (self.slots.len() - 1) as u32
    }

    pub(super) fn report(&mut self, now: Millis, announcement: &Announcement) -> Option<u32> {
        let Some(index) = self.current.get(&announcement.upstream).copied() else {
            return self.join(now, announcement);
        };
        self.update(now, index, |slot| {
            slot.open = !slot.leaving && announcement.capacity > 0;
            slot.report(&announcement.load);
            slot.limit.set_ceiling(announcement.capacity);
            slot.limit.observe(now, &announcement.load);
            if slot.health.state == State::Down {
                slot.health.half_open();
            }
        });
        None
    }

    pub(super) fn close(&mut self, now: Millis, id: &UpstreamId, leaving: bool) {
        if let Some(index) = self.current.get(id).copied() {
            self.update(now, index, |slot| {
                slot.open = false;
                slot.leaving |= leaving;
            });
        }
    }

    /// Removes an upstream permanently; its slot stays until its last request has ended.
    pub(super) fn retire(&mut self, now: Millis, id: &UpstreamId) {
        let Some(index) = self.current.remove(id) else {
            return;
        };
        self.update(now, index, |slot| slot.open = false);
        self.warming.remove(&index);
        self.prefixes.reset(index);
        self.reclaim(index);
    }

    pub(super) fn reclaim(&mut self, index: u32) {
        let Some(slot) = &self.slots[index as usize] else {
            return;
        };
        let retired = self.current.get(&slot.id) != Some(&index);
        if !retired || slot.inflight > 0 {
            return;
        }
        let part = Totals::of(slot);
        self.subtract(&part);
        self.slots[index as usize] = None;
        self.vacant.push(index);
    }

    /// Records the crash of one boot. Returns its index if it is the current boot; the caller then
    /// ends its requests.
    pub fn crash(&mut self, now: Millis, id: &UpstreamId, boot: Incarnation) -> Option<u32> {
        let index = self.find(id, boot)?;
        self.update(now, index, |slot| slot.health.state = State::Down);
        self.prefixes.reset(index);
        self.warming.remove(&index);
        Some(index)
    }

    pub(super) fn find(&self, id: &UpstreamId, boot: Incarnation) -> Option<u32> {
        let index = self.current.get(id).copied()?;
        self.slot(index).filter(|s| s.boot == boot).map(|_| index)
    }

    /// Applies a cache event of an engine.
    pub fn cache(&mut self, event: &CacheEvent) {
        if let Some(index) = self.current.get(&event.upstream) {
            self.prefixes.apply(*index, event);
        }
    }
}

/// Returns when the slow start of an upstream began, if it is not over. It begins with the process,
/// whose age follows from the number of its announcements, not when this daemon becomes its owner.
fn warming_since(now: Millis, announcement: &Announcement) -> Option<Millis> {
    let age = Millis(announcement.sequence.saturating_mul(ANNOUNCE_INTERVAL.0));
    (age < SLOW_START).then_some(now - age)
}
