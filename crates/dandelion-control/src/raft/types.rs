//! Positions, entries, hard state and snapshots.

use dandelion_protocol::ids::Term;
use dandelion_protocol::mesh::MAX_MESSAGE_BYTES;
use serde::Deserialize;
use serde::Serialize;

use crate::raft::membership::Membership;

/// Identity of one data folder, drawn at random when the folder is initialized. A wiped folder gets
/// a new one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

/// Identity of one replicated group, drawn at random at its bootstrap; zero while no group is
/// known.
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

/// Longest change in a log entry, in bytes. What is left of a message is for the position of the entry and
/// the fields around it. An entry that no follower can receive would hold back all entries after it.
pub const MAX_CHANGE_BYTES: usize = MAX_MESSAGE_BYTES - 512;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A new leader appends one so that it can commit the entries of earlier terms.
    Empty,
    /// A proposal as CBOR.
    Change(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The group's replicas, in effect as soon as the entry is appended.
    Members(Membership),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
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
    /// Term and index; follows the position of the entry before it without a gap.
    #[serde(rename = "a")]
    pub at: Position,
    /// What the entry changes.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// State that a replica must persist besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in that term, if any.
    pub vote: Option<ReplicaId>,
}

/// The state at one position; replaces the log entries up to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot covers.
    pub at: Position,
    /// Replicas at that position.
    pub members: Membership,
    /// Image of all tables as CBOR.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Writes that must be synced before the messages of the same step are sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// A snapshot that replaces the log; written before the rest.
    pub snapshot: Option<Snapshot>,
    /// Hard state, if it changed.
    pub hard: Option<HardState>,
    /// Appended entries; the first one replaces everything stored from its index on.
    pub entries: Vec<Entry>,
}

impl Writes {
    /// Returns whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.hard.is_none() && self.entries.is_empty()
    }
}
