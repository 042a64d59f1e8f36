//! Counters of messages and bytes by family, to check the budget of control traffic.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_protocol::mesh::MeshMessage;

/// Kinds of messages that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// Raft messages of the control daemons and of the stores.
    Raft,
    /// Configuration feed and leases.
    Feed,
    /// Load digests, forwarded reports of upstreams and notices of the store group's leader.
    Digest,
    /// Calls and their replies.
    Call,
    /// Requests and answer streams, with their cancels and credits.
    Serve,
    /// Handshakes and heartbeats.
    Link,
}

impl Family {
    /// Every family, in the order of declaration.
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

/// Messages and payload bytes of one family since the node was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages passed to a socket, also those that a failed connection loses.
    pub sent: u64,
    /// Payload bytes sent, without WebSocket and TCP headers.
    pub sent_bytes: u64,
    /// Messages received over all connections.
    pub received: u64,
    /// Payload bytes received, without WebSocket and TCP headers.
    pub received_bytes: u64,
}

#[derive(Debug, Default)]
struct FamilyCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counters of one mesh node.
#[derive(Debug, Default)]
pub struct Counters {
    families: [FamilyCounters; Family::ALL.len()],
}

impl Counters {
    pub fn count_sent(&self, family: Family, bytes: usize) {
        let counters = &self.families[family as usize];
        counters.sent.fetch_add(1, Ordering::Relaxed);
        counters
            .sent_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn count_received(&self, family: Family, bytes: usize) {
        let counters = &self.families[family as usize];
        counters.received.fetch_add(1, Ordering::Relaxed);
        counters
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn read(&self, family: Family) -> Traffic {
        let counters = &self.families[family as usize];
        Traffic {
            sent: counters.sent.load(Ordering::Relaxed),
            sent_bytes: counters.sent_bytes.load(Ordering::Relaxed),
            received: counters.received.load(Ordering::Relaxed),
            received_bytes: counters.received_bytes.load(Ordering::Relaxed),
        }
    }
}
