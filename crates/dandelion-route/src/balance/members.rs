//! Upstreams that join, report, leave and crash.

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
    /// Takes in a change of the registry. A boot that ended with requests at it is returned.
    pub fn apply(&mut self, now: Millis, change: &Change) -> Option<u32> {
        match change {
            Change::Joined(heard) => return self.join(now, heard),
            Change::Reported(heard) => return self.report(now, heard),
            Change::Leaving(id) => self.close(now, id, true),
            Change::Silent(id) => self.close(now, id, false),
            Change::Gone(id) => self.retire(now, id),
        }
        None
    }

    pub(super) fn join(&mut self, now: Millis, heard: &Announcement) -> Option<u32> {
        let old = self.current.get(&heard.upstream).copied();
        let cut = old.filter(|i| self.slot(*i).is_some_and(|s| s.inflight > 0 && !s.leaving));
        self.retire(now, &heard.upstream);
        let warming = started(now, heard);
        let slot = Slot::new(heard, warming);
        let index = self.insert(slot);
        self.current.insert(heard.upstream.clone(), index);
        if warming.is_some() {
            self.warming.insert(index);
        }
        self.place(now, index);
        cut
    }

    pub(super) fn insert(&mut self, slot: Slot) -> u32 {
        self.add(&Totals::of(&slot));
        if let Some(index) = self.vacant.pop() {
            self.slots[index as usize] = Some(slot);
            return index;
        }
        self.slots.push(Some(slot));
        self.placed.push(None);
        (self.slots.len() - 1) as u32
    }

    pub(super) fn report(&mut self, now: Millis, heard: &Announcement) -> Option<u32> {
        let Some(index) = self.current.get(&heard.upstream).copied() else {
            return self.join(now, heard);
        };
        self.update(now, index, |slot| {
            slot.open = !slot.leaving && heard.capacity > 0;
            slot.report(&heard.load);
            slot.limit.set_ceiling(heard.capacity);
            slot.limit.observe(now, &heard.load);
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

    /// Takes an upstream out for good; its record stays until its last request has ended.
    pub(super) fn retire(&mut self, now: Millis, id: &UpstreamId) {
        let Some(index) = self.current.remove(id) else {
            return;
        };
        self.update(now, index, |slot| slot.open = false);
        self.warming.remove(&index);
        self.prefixes.reset(index);
        self.free(index);
    }

    pub(super) fn free(&mut self, index: u32) {
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

    /// Notes the crash of one boot; its requests are the caller's to give up.
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

    /// Takes in a cache event of an engine.
    pub fn cache(&mut self, event: &CacheEvent) {
        if let Some(index) = self.current.get(&event.upstream) {
            self.prefixes.apply(*index, event);
        }
    }
}

/// Returns when an upstream started, if its slow start is not over. An upstream that was up
/// before this owner heard of it is not new.
fn started(now: Millis, heard: &Announcement) -> Option<Millis> {
    let age = Millis(heard.sequence.saturating_mul(ANNOUNCE_INTERVAL.0));
    (age < SLOW_START).then_some(now - age)
}
