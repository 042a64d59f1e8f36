//! What a leader knows of one other replica.

use dandelion_protocol::time::Millis;

use crate::raft::types::Position;

/// Most entries that may be sent and unanswered.
pub const WINDOW_ENTRIES: u64 = 16_384;

/// State of a snapshot transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transfer {
    /// Position of the snapshot.
    pub at: Position,
    /// Offset of the part last sent.
    pub offset: u64,
    /// When it was sent.
    pub sent: Millis,
}

/// Progress of one replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last index known to be stored there.
    pub matched: u64,
    /// Next index to send.
    pub next: u64,
    /// Whether the matching point is known, so that appends may be pipelined.
    pub streaming: bool,
    /// Latest `sent` that it has echoed: its promise runs from there.
    pub promised: Option<Millis>,
    /// Snapshot on its way there.
    pub transfer: Option<Transfer>,
}

impl Progress {
    /// Starts behind `last`, with unknown matching point.
    pub fn open(last: u64) -> Self {
        Self {
            next: last + 1,
            ..Self::default()
        }
    }

    /// Returns whether entries may be sent without waiting for an answer.
    pub fn may_send(&self) -> bool {
        self.streaming && self.transfer.is_none() && self.next <= self.matched + WINDOW_ENTRIES
    }

    /// Notes that the replica echoed a message sent at `sent`.
    pub fn echo(&mut self, sent: Millis) {
        self.promised = self.promised.max(Some(sent));
    }
}
