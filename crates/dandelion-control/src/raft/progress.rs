//! Replication progress of another replica, as tracked by the leader.

use dandelion_protocol::time::Millis;

use crate::raft::types::Position;

/// Most entries that may be sent to a replica before it acknowledges them.
pub const WINDOW_ENTRIES: u64 = 16_384;

/// State of a snapshot transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotTransfer {
    /// Position of the snapshot.
    pub at: Position,
    /// Offset of the last chunk sent, in bytes.
    pub offset: u64,
    /// When that chunk was sent.
    pub sent: Millis,
}

/// Progress of one replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last index at which its stored log is known to match the leader's.
    pub matched: u64,
    /// Index of the next entry to send.
    pub next: u64,
    /// Whether the matching index is known, so that appends are sent without waiting for replies.
    pub pipelined: bool,
    /// Latest send time that it has echoed; its promise to the leader runs from then.
    pub promised: Option<Millis>,
    /// Snapshot transfer in progress; no entries are sent meanwhile.
    pub transfer: Option<SnapshotTransfer>,
}

impl Progress {
    /// Starts with the entry after `last` as the next one and no index known to match.
    pub fn open(last: u64) -> Self {
        Self {
            next: last + 1,
            ..Self::default()
        }
    }

    /// Returns whether further entries may be sent before a reply arrives.
    pub fn may_send(&self) -> bool {
        self.pipelined && self.transfer.is_none() && self.next <= self.matched + WINDOW_ENTRIES
    }

    /// Records that the replica replied to a message sent at `sent`.
    pub fn record_echo(&mut self, sent: Millis) {
        self.promised = self.promised.max(Some(sent));
    }
}
