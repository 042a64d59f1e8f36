//! Counts of messages and bytes by family, for the control budget.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_protocol::mesh::MeshMessage;

/// Kinds of messages that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// Replication.
    Raft,
    /// Configuration feed and leases.
    Feed,
    /// Digests and membership.
    Digest,
    /// Calls and replies.
    Call,
    /// Requests, answers, cancels and credits.
    Serve,
    /// Handshakes and heartbeats.
    Link,
}

impl Family {
    /// Every family.
    pub const ALL: [Self; 6] = [
        Self::Raft,
        Self::Feed,
        Self::Digest,
        Self::Call,
        Self::Serve,
        Self::Link,
    ];

    /// Returns the family of a message.
    pub fn of(message: &MeshMessage) -> Self {
        match message {
            MeshMessage::Raft(_) | MeshMessage::StoreRaft(_) => Self::Raft,
            MeshMessage::Feed(_) => Self::Feed,
            MeshMessage::Digest(_) | MeshMessage::Lived(_) | MeshMessage::JobsLeader(_) => {
                Self::Digest
            }
            MeshMessage::Call { .. } | MeshMessage::Reply { .. } => Self::Call,
            MeshMessage::Serve { .. }
            | MeshMessage::Part { .. }
            | MeshMessage::Cancel { .. }
            | MeshMessage::Credit { .. } => Self::Serve,
            MeshMessage::Hello(_) | MeshMessage::Ping(_) | MeshMessage::Pong(_) => Self::Link,
        }
    }
}

/// Messages and payload bytes of one family so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub sent: u64,
    /// Payload bytes sent, without WebSocket and TCP headers.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Payload bytes received.
    pub received_bytes: u64,
}

#[derive(Debug, Default)]
struct Cell {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counters of one mesh node.
#[derive(Debug, Default)]
pub struct Counters {
    cells: [Cell; Family::ALL.len()],
}

impl Counters {
    pub fn count_sent(&self, family: Family, bytes: usize) {
        let cell = &self.cells[family as usize];
        cell.sent.fetch_add(1, Ordering::Relaxed);
        cell.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn count_received(&self, family: Family, bytes: usize) {
        let cell = &self.cells[family as usize];
        cell.received.fetch_add(1, Ordering::Relaxed);
        cell.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn read(&self, family: Family) -> Traffic {
        let cell = &self.cells[family as usize];
        Traffic {
            sent: cell.sent.load(Ordering::Relaxed),
            sent_bytes: cell.sent_bytes.load(Ordering::Relaxed),
            received: cell.received.load(Ordering::Relaxed),
            received_bytes: cell.received_bytes.load(Ordering::Relaxed),
        }
    }
}
