//! Upstreams that announce themselves to their owner. Late, replayed and reordered announcements
//! are ignored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;

/// Interval between two announcements of an upstream.
pub const ANNOUNCE_INTERVAL: Millis = Millis::from_secs(1);

/// Time without an announcement after which an upstream gets no new work, that is, after five
/// missed announcements.
pub const SILENT_AFTER: Millis = Millis::from_secs(5);

/// Time without an announcement after which an upstream is removed.
pub const GONE_AFTER: Millis = Millis::from_secs(30);

/// Time for which the position of a removed upstream's last announcement is retained, so that a
/// replay does not bring the upstream back.
pub const REPLAY_WINDOW: Millis = Millis::from_secs(3600);

/// State of one upstream as of its last announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Newest announcement.
    pub last: Announcement,
    /// When the newest announcement was received.
    pub seen: Millis,
    /// Whether this boot is leaving, as announced or because it is drained. Never unset for a boot.
    pub leaving: bool,
    /// Whether no announcement was received for [`SILENT_AFTER`].
    pub silent: bool,
}

impl Record {
    fn check_delay(&self) -> Millis {
        if self.silent {
            GONE_AFTER
        } else {
            SILENT_AFTER
        }
    }
}

/// A change of the registry, to be passed to the queue of the upstream's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// First announcement of a boot.
    Joined(Announcement),
    /// Later announcement of a known boot that may get work.
    Reported(Announcement),
    /// No new work from now on: it is leaving.
    Leaving(UpstreamId),
    /// No new work until its next announcement.
    Silent(UpstreamId),
    /// It was removed: silent for [`GONE_AFTER`], or released to another owner.
    Gone(UpstreamId),
}

/// What is retained of a removed upstream, to recognize replays and a boot that was leaving.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    boot: Incarnation,
    sequence: u64,
    leaving: bool,
    at: Millis,
}

/// The upstreams that this daemon owns.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<UpstreamId, Record>,
    drains: BTreeMap<UpstreamId, Incarnation>,
    tombstones: BTreeMap<UpstreamId, Tombstone>,
    checks: BTreeSet<(Millis, UpstreamId)>,
}

impl Registry {
    /// Accepts an announcement; returns none if it is not newer than the last one.
    pub fn accept(&mut self, now: Millis, announcement: Announcement) -> Option<Change> {
        let position = (announcement.boot, announcement.sequence);
        if self
            .position(&announcement.upstream)
            .is_some_and(|p| position <= p)
        {
            return None;
        }
        let id = announcement.upstream.clone();
        let same_boot = self
            .records
            .get(&id)
            .is_some_and(|r| r.last.boot == announcement.boot);
        let leaving = announcement.leaving
            || self.was_leaving(&announcement)
            || self.is_drained(&announcement);
        let record = Record {
            last: announcement.clone(),
            seen: now,
            leaving,
            silent: false,
        };
        self.put(record);
        match (leaving, same_boot) {
            (true, _) => Some(Change::Leaving(id)),
            (false, false) => Some(Change::Joined(announcement)),
            (false, true) => Some(Change::Reported(announcement)),
        }
    }

    fn position(&self, id: &UpstreamId) -> Option<(Incarnation, u64)> {
        let live = self.records.get(id).map(|r| (r.last.boot, r.last.sequence));
        live.or_else(|| self.tombstones.get(id).map(|r| (r.boot, r.sequence)))
    }

    fn was_leaving(&self, announcement: &Announcement) -> bool {
        let id = &announcement.upstream;
        let live = self.records.get(id).map(|r| (r.last.boot, r.leaving));
        let known = live.or_else(|| self.tombstones.get(id).map(|r| (r.boot, r.leaving)));
        known.is_some_and(|(boot, leaving)| boot == announcement.boot && leaving)
    }

    fn is_drained(&self, announcement: &Announcement) -> bool {
        self.drains
            .get(&announcement.upstream)
            .is_some_and(|boot| announcement.boot <= *boot)
    }

    fn put(&mut self, record: Record) {
        let id = record.last.upstream.clone();
        self.tombstones.remove(&id);
        if let Some(old) = self.records.get(&id) {
            self.checks
                .remove(&(old.seen + old.check_delay(), id.clone()));
        }
        self.checks.insert((record.seen + SILENT_AFTER, id.clone()));
        self.records.insert(id, record);
    }

    /// Replaces the drains of the configuration: boots up to the given one are leaving. Returns a
    /// change for each known upstream that starts leaving.
    pub fn set_drains(&mut self, drains: &BTreeMap<UpstreamId, Incarnation>) -> Vec<Change> {
        self.drains.clone_from(drains);
        let mut changes = Vec::new();
        for (id, boot) in drains {
            let Some(record) = self.records.get_mut(id) else {
                continue;
            };
            if record.last.boot <= *boot && !record.leaving {
                record.leaving = true;
                changes.push(Change::Leaving(id.clone()));
            }
        }
        changes
    }

    /// Marks upstreams without recent announcements as silent and removes long silent ones.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some((due, id)) = self.checks.first().cloned() {
            if due > now {
                break;
            }
            self.checks.remove(&(due, id.clone()));
            changes.extend(self.check(now, &id));
        }
        self.tombstones
            .retain(|_, tombstone| now.since(tombstone.at) < REPLAY_WINDOW);
        changes
    }

    fn check(&mut self, now: Millis, id: &UpstreamId) -> Option<Change> {
        let record = self.records.get_mut(id)?;
        if !record.silent {
            record.silent = true;
            self.checks.insert((record.seen + GONE_AFTER, id.clone()));
            return Some(Change::Silent(id.clone()));
        }
        self.remove(now, id)
    }

    /// Removes an upstream that another daemon owns now.
    pub fn release(&mut self, now: Millis, id: &UpstreamId) -> Option<Change> {
        let record = self.records.get(id)?;
        let due = record.seen + record.check_delay();
        self.checks.remove(&(due, id.clone()));
        self.remove(now, id)
    }

    fn remove(&mut self, now: Millis, id: &UpstreamId) -> Option<Change> {
        let record = self.records.remove(id)?;
        let tombstone = Tombstone {
            boot: record.last.boot,
            sequence: record.last.sequence,
            leaving: record.leaving,
            at: now,
        };
        self.tombstones.insert(id.clone(), tombstone);
        Some(Change::Gone(id.clone()))
    }

    /// Borrows the record of one upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Record> {
        self.records.get(id)
    }

    /// Iterates over all records, ordered by upstream id.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
