//! Upstreams as they announce themselves; late, replayed and reordered announcements change
//! nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;

/// Time between two announcements of an upstream.
pub const ANNOUNCE_EVERY: Millis = Millis::from_secs(1);

/// Silence after which an upstream gets no new work: five missed announcements.
pub const SILENT_AFTER: Millis = Millis::from_secs(5);

/// Silence after which an upstream is removed.
pub const GONE_AFTER: Millis = Millis::from_secs(30);

/// Time for which the last announcement of a removed upstream is remembered against replays.
pub const REMEMBER_FOR: Millis = Millis::from_secs(3600);

/// What an upstream last said, and when it was heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Newest announcement.
    pub last: Announcement,
    /// When it was heard.
    pub seen: Millis,
    /// Whether this boot is leaving, by its own word or by a drain mark. Never unset.
    pub leaving: bool,
    /// Whether it has missed announcements.
    pub silent: bool,
}

impl Record {
    fn check_span(&self) -> Millis {
        if self.silent {
            GONE_AFTER
        } else {
            SILENT_AFTER
        }
    }
}

/// A change of what is known, to be fed to the queue of the upstream's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// First announcement of a boot.
    Joined(Announcement),
    /// Later announcement of a known boot that may get work.
    Reported(Announcement),
    /// No new work from now on: it is leaving.
    Leaving(UpstreamId),
    /// No new work until it is heard again.
    Silent(UpstreamId),
    /// It has been silent for long and is forgotten.
    Gone(UpstreamId),
}

/// What is remembered of a removed upstream.
#[derive(Debug, Clone, Copy)]
struct Removed {
    boot: Incarnation,
    sequence: u64,
    leaving: bool,
    at: Millis,
}

/// The upstreams heard by this daemon.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<UpstreamId, Record>,
    drains: BTreeMap<UpstreamId, Incarnation>,
    removed: BTreeMap<UpstreamId, Removed>,
    checks: BTreeSet<(Millis, UpstreamId)>,
}

impl Registry {
    /// Takes in an announcement; returns nothing if it is not newer than what is known.
    pub fn accept(&mut self, now: Millis, heard: Announcement) -> Option<Change> {
        let position = (heard.boot, heard.sequence);
        if self
            .position(&heard.upstream)
            .is_some_and(|p| position <= p)
        {
            return None;
        }
        let id = heard.upstream.clone();
        let same_boot = self
            .records
            .get(&id)
            .is_some_and(|r| r.last.boot == heard.boot);
        let leaving = heard.leaving || self.was_leaving(&heard) || self.is_drained(&heard);
        let record = Record {
            last: heard.clone(),
            seen: now,
            leaving,
            silent: false,
        };
        self.put(record);
        match (leaving, same_boot) {
            (true, _) => Some(Change::Leaving(id)),
            (false, false) => Some(Change::Joined(heard)),
            (false, true) => Some(Change::Reported(heard)),
        }
    }

    fn position(&self, id: &UpstreamId) -> Option<(Incarnation, u64)> {
        let live = self.records.get(id).map(|r| (r.last.boot, r.last.sequence));
        live.or_else(|| self.removed.get(id).map(|r| (r.boot, r.sequence)))
    }

    fn was_leaving(&self, heard: &Announcement) -> bool {
        let id = &heard.upstream;
        let live = self.records.get(id).map(|r| (r.last.boot, r.leaving));
        let known = live.or_else(|| self.removed.get(id).map(|r| (r.boot, r.leaving)));
        known.is_some_and(|(boot, leaving)| boot == heard.boot && leaving)
    }

    fn is_drained(&self, heard: &Announcement) -> bool {
        self.drains
            .get(&heard.upstream)
            .is_some_and(|boot| heard.boot <= *boot)
    }

    fn put(&mut self, record: Record) {
        let id = record.last.upstream.clone();
        self.removed.remove(&id);
        if let Some(old) = self.records.get(&id) {
            self.checks
                .remove(&(old.seen + old.check_span(), id.clone()));
        }
        self.checks.insert((record.seen + SILENT_AFTER, id.clone()));
        self.records.insert(id, record);
    }

    /// Takes over the drain marks of the configuration; returns the upstreams that now leave.
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

    /// Marks what has fallen silent and removes what has been silent for long.
    pub fn tick(&mut self, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some((due, id)) = self.checks.first().cloned() {
            if due > now {
                break;
            }
            self.checks.remove(&(due, id.clone()));
            changes.extend(self.check(now, &id));
        }
        self.removed
            .retain(|_, removed| now.since(removed.at) < REMEMBER_FOR);
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

    /// Forgets an upstream that another daemon owns now.
    pub fn release(&mut self, now: Millis, id: &UpstreamId) -> Option<Change> {
        let record = self.records.get(id)?;
        let due = record.seen + record.check_span();
        self.checks.remove(&(due, id.clone()));
        self.remove(now, id)
    }

    fn remove(&mut self, now: Millis, id: &UpstreamId) -> Option<Change> {
        let record = self.records.remove(id)?;
        let removed = Removed {
            boot: record.last.boot,
            sequence: record.last.sequence,
            leaving: record.leaving,
            at: now,
        };
        self.removed.insert(id.clone(), removed);
        Some(Change::Gone(id.clone()))
    }

    /// Borrows the record of one upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Record> {
        self.records.get(id)
    }

    /// Iterates over all records in the order of their names.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
