//! Requests that crash upstreams: suspects, isolated trials and blocks.
//!
//! Every request in flight on a crashed upstream is a suspect. A suspect runs alone on its
//! upstream. If that upstream crashes too the request is blocked; if it answers, the request is
//! cleared. Notes spread the marks to all daemons of the zone, blocks go through configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ownership::rendezvous;
use crate::ticket::Fingerprint;

/// Time for which a suspect is remembered after its last crash.
pub const SUSPECT_FOR: Millis = Millis::from_secs(600);

/// Time for which a block holds at a daemon that saw the crash, until configuration carries it.
pub const BLOCK_FOR: Millis = Millis::from_secs(3600);

/// Most marks kept; the oldest go first.
pub const MAX_MARKS: usize = 4096;

/// Most notes in one message to a peer; a note is at most 24 bytes.
pub const MAX_NOTES: usize = 64;

/// What is held against a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// It answered in isolation.
    Cleared,
    /// It was in flight at one crash.
    Suspect,
    /// Its upstream crashed while it ran alone.
    Blocked,
}

/// A mark as sent to the daemons of the zone, before the callers of the crash are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Content of the request.
    pub fingerprint: Fingerprint,
    /// What is held against it.
    pub mark: Mark,
}

/// Marks known to this daemon.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    marks: BTreeMap<Fingerprint, (Mark, Millis)>,
    expiry: BTreeSet<(Millis, Fingerprint)>,
    config: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Takes over the blocks of the configuration.
    pub fn set_blocked<I>(&mut self, blocked: I)
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        let blocked: BTreeSet<Fingerprint> = blocked.into_iter().collect();
        let lifted: Vec<Fingerprint> = self.config.difference(&blocked).copied().collect();
        for fingerprint in lifted {
            self.remove(fingerprint);
        }
        self.config = blocked;
    }

    /// Returns the mark of a fingerprint, if any.
    pub fn mark(&self, fingerprint: Fingerprint) -> Option<Mark> {
        if self.config.contains(&fingerprint) {
            return Some(Mark::Blocked);
        }
        self.marks.get(&fingerprint).map(|(mark, _)| *mark)
    }

    /// Counts a crash of an upstream that ran the request, and returns the note to spread.
    ///
    /// `alone` says that it was an isolated trial of a known suspect.
    pub fn crash(&mut self, now: Millis, fingerprint: Fingerprint, alone: bool) -> SuspectNote {
        let known = self.mark(fingerprint);
        let confirmed = alone && known >= Some(Mark::Suspect);
        let mark = if confirmed || known == Some(Mark::Blocked) {
            Mark::Blocked
        } else {
            Mark::Suspect
        };
        self.put(now, fingerprint, mark);
        SuspectNote { fingerprint, mark }
    }

    /// Clears a suspect that answered in isolation; returns the note to spread.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> SuspectNote {
        self.remove(fingerprint);
        let mark = Mark::Cleared;
        SuspectNote { fingerprint, mark }
    }

    /// Takes in a note of another daemon. A block is not undone by a late note.
    pub fn hear(&mut self, now: Millis, note: SuspectNote) {
        let known = self.marks.get(&note.fingerprint).map(|(mark, _)| *mark);
        match note.mark {
            Mark::Cleared if known == Some(Mark::Suspect) => self.remove(note.fingerprint),
            mark if Some(mark) > known && mark != Mark::Cleared => {
                self.put(now, note.fingerprint, mark);
            }
            _ => {}
        }
    }

    /// Forgets marks that have expired.
    pub fn tick(&mut self, now: Millis) {
        while let Some((due, fingerprint)) = self.expiry.first().copied() {
            if due > now && self.marks.len() <= MAX_MARKS {
                return;
            }
            self.expiry.remove(&(due, fingerprint));
            self.marks.remove(&fingerprint);
        }
    }

    fn put(&mut self, now: Millis, fingerprint: Fingerprint, mark: Mark) {
        self.remove(fingerprint);
        let span = if mark == Mark::Blocked {
            BLOCK_FOR
        } else {
            SUSPECT_FOR
        };
        let due = now + span;
        self.marks.insert(fingerprint, (mark, due));
        self.expiry.insert((due, fingerprint));
        self.tick(now);
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some((_, due)) = self.marks.remove(&fingerprint) {
            self.expiry.remove(&(due, fingerprint));
        }
    }
}

/// Returns the one owner to which all entries send a suspect, so that it runs once at a time.
pub fn trial_owner<'a, I>(fingerprint: Fingerprint, owners: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    rendezvous(&fingerprint.0.to_le_bytes(), owners)
}
