//! Positions, entries, hard state and snapshots.

use dandelion_protocol::ids::Term;
use serde::Deserialize;
use serde::Serialize;

use crate::raft::membership::Membership;

/// Identity of one data folder, drawn at random when the folder is made.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// Identity of one control group, drawn at random at its first start; zero before that.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct GroupId(pub u64);

/// A position in the log.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the entry; compared first.
    #[serde(rename = "t")]
    pub term: Term,
    /// Index of the entry, from 1.
    #[serde(rename = "i")]
    pub index: u64,
}

/// What a log entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Empty,
    /// An encoded proposal.
    Change(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The group's replicas from this entry on.
    Members(Membership),
}

impl Payload {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> u64 {
        match self {
            Self::Empty => 16,
            Self::Change(bytes) => bytes.len() as u64 + 16,
            Self::Members(members) => members.replicas.len() as u64 * 64 + 16,
        }
    }
}

/// One log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    #[serde(rename = "a")]
    pub at: Position,
    /// Content.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// What a replica must remember besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Vote given in that term.
    pub vote: Option<ReplicaId>,
}

/// The state at one position, in place of the entries up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last position that is covered.
    pub at: Position,
    /// Replicas at that position.
    pub members: Membership,
    /// Encoded table image.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What must be stored before the messages of the same step may leave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// A snapshot received from the leader; stored first.
    pub snapshot: Option<Snapshot>,
    /// Changed hard state.
    pub hard: Option<HardState>,
    /// Entries; the first one replaces everything from its index on.
    pub entries: Vec<Entry>,
}

impl Writes {
    /// Returns whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.hard.is_none() && self.entries.is_empty()
    }
}
