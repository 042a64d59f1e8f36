//! Requests that crash upstreams: suspects, isolated trials and blocks.
//!
//! Every request in flight on a crashed upstream is a suspect. A suspect runs alone on an upstream.
//! If that upstream crashes too, the request is blocked; if it answers, the request is cleared.
//! Notes carry this status to all daemons of the zone; blocks are also added to the configuration
//! of the cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ownership::rendezvous;
use crate::ticket::Fingerprint;

/// Time for which a suspect is remembered after its last crash.
pub const SUSPECT_TTL: Millis = Millis::from_secs(600);

/// Time for which a daemon keeps a block on its own; it bridges the time until the block is in the
/// configuration.
pub const BLOCK_TTL: Millis = Millis::from_secs(3600);

/// Most fingerprints with a status; beyond it, those that expire first are dropped.
pub const MAX_SUSPECTS: usize = 4096;

/// Most notes in one message to a peer. An encoded note has at most 24 bytes.
pub const MAX_NOTES: usize = 64;

/// What is known of a fingerprint, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It answered in an isolated trial.
    Cleared,
    /// It was in flight on an upstream that crashed.
    Suspect,
    /// Its upstream crashed during its isolated trial.
    Blocked,
}

/// Status of one fingerprint, sent to the daemons of the zone before the callers whose requests the
/// crash interrupted are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Status of the fingerprint.
    pub mark: Status,
}

/// Fingerprints with a status at this daemon.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    statuses: BTreeMap<Fingerprint, (Status, Millis)>,
    expiry: BTreeSet<(Millis, Fingerprint)>,
    configured: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Replaces the blocks of the configuration; one that is no longer in it is lifted here too.
    pub fn set_blocked<I>(&mut self, blocked: I)
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        let blocked: BTreeSet<Fingerprint> = blocked.into_iter().collect();
        let lifted: Vec<Fingerprint> = self.configured.difference(&blocked).copied().collect();
        for fingerprint in lifted {
            self.remove(fingerprint);
        }
        self.configured = blocked;
    }

    /// Returns the status of a fingerprint, or none if it is neither a suspect nor blocked.
    pub fn status(&self, fingerprint: Fingerprint) -> Option<Status> {
        if self.configured.contains(&fingerprint) {
            return Some(Status::Blocked);
        }
        self.statuses.get(&fingerprint).map(|(mark, _)| *mark)
    }

    /// Records the crash of an upstream that ran the request; returns the note to send.
    ///
    /// `alone` says that it ran as an isolated trial.
    pub fn crash(&mut self, now: Millis, fingerprint: Fingerprint, alone: bool) -> SuspectNote {
        let known = self.status(fingerprint);
        let confirmed = alone && known >= Some(Status::Suspect);
        let mark = if confirmed || known == Some(Status::Blocked) {
            Status::Blocked
        } else {
            Status::Suspect
        };
        self.put(now, fingerprint, mark);
        SuspectNote { fingerprint, mark }
    }

    /// Clears a suspect that answered in its isolated trial; returns the note to send.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> SuspectNote {
        self.remove(fingerprint);
        let mark = Status::Cleared;
        SuspectNote { fingerprint, mark }
    }

    /// Merges a note of another daemon. A late note does not undo a block.
    pub fn merge(&mut self, now: Millis, note: SuspectNote) {
        let known = self.statuses.get(&note.fingerprint).map(|(mark, _)| *mark);
        match note.mark {
            Status::Cleared if known == Some(Status::Suspect) => self.remove(note.fingerprint),
            mark if Some(mark) > known && mark != Status::Cleared => {
                self.put(now, note.fingerprint, mark);
            }
            _ => {}
        }
    }

    /// Removes the statuses that have expired.
    pub fn tick(&mut self, now: Millis) {
        while let Some((due, fingerprint)) = self.expiry.first().copied() {
            if due > now && self.statuses.len() <= MAX_SUSPECTS {
                return;
            }
            self.expiry.remove(&(due, fingerprint));
            self.statuses.remove(&fingerprint);
        }
    }

    fn put(&mut self, now: Millis, fingerprint: Fingerprint, mark: Status) {
        self.remove(fingerprint);
        let ttl = if mark == Status::Blocked {
            BLOCK_TTL
        } else {
            SUSPECT_TTL
        };
        let due = now + ttl;
        self.statuses.insert(fingerprint, (mark, due));
        self.expiry.insert((due, fingerprint));
        self.tick(now);
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some((_, due)) = self.statuses.remove(&fingerprint) {
            self.expiry.remove(&(due, fingerprint));
        }
    }
}

/// Returns the owner to which all entries of a zone send a suspect, so that it never runs at two
/// owners at once.
pub fn trial_owner<'a, I>(fingerprint: Fingerprint, owners: I) -> Option<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    rendezvous(&fingerprint.0.to_le_bytes(), owners)
}
