//! Transfer of snapshots to replicas that lack entries no longer in the leader's log.

use std::sync::Arc;

use dandelion_protocol::time::Millis;

use crate::raft::log::Log;
use crate::raft::membership::Membership;
use crate::raft::message::Body;
use crate::raft::message::Chunk;
use crate::raft::progress::SnapshotTransfer;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::types::Payload;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;
use crate::raft::types::Snapshot;

/// Most bytes of the table image in one chunk.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// A snapshot that is being received.
#[derive(Debug, Clone)]
pub struct IncomingSnapshot {
    from: ReplicaId,
    at: Position,
    members: Membership,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn start_transfer(&mut self, now: Millis, id: ReplicaId) {
        let at = self.snapshot.at;
        self.send_chunk(now, id, at, 0);
    }

    fn send_chunk(&mut self, now: Millis, id: ReplicaId, at: Position, offset: u64) {
        let start = (offset as usize).min(self.snapshot.data.len());
        let end = (start + CHUNK_BYTES).min(self.snapshot.data.len());
        let chunk = Chunk {
            at,
            members: self.snapshot.members.clone(),
            offset,
            total: self.snapshot.data.len() as u64,
            sent: now,
            data: self.snapshot.data[start..end].to_vec(),
        };
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.transfer = Some(SnapshotTransfer {
                at,
                offset,
                sent: now,
            });
        }
        self.send(id, Body::Chunk(chunk));
    }

    /// Resends the last chunk, which serves as the heartbeat during a transfer. A transfer of a
    /// snapshot that is no longer the latest starts again with the latest one.
    pub(super) fn resend_chunk(&mut self, now: Millis, id: ReplicaId) {
        let transfer = self.progress.get(&id).and_then(|p| p.transfer);
        match transfer {
            Some(transfer) if transfer.at == self.snapshot.at => {
                self.send_chunk(now, id, transfer.at, transfer.offset);
            }
            _ => self.start_transfer(now, id),
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        now: Millis,
        from: ReplicaId,
        at: Position,
        offset: u64,
        sent: Millis,
    ) {
        if self.role != Role::Leader {
            return;
        }
        let total = self.snapshot.data.len() as u64;
        let current = self.snapshot.at;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.record_echo(sent);
        let Some(transfer) = progress.transfer.filter(|t| t.at == at) else {
            return;
        };
        if at != current {
            self.start_transfer(now, from);
            return;
        }
        if offset >= total {
            progress.transfer = None;
            progress.matched = progress.matched.max(at.index);
            progress.next = progress.matched + 1;
            progress.pipelined = true;
        } else if offset > transfer.offset {
            self.send_chunk(now, from, at, offset);
        }
    }

    pub(super) fn on_chunk(&mut self, from: ReplicaId, chunk: Chunk) {
        let at = chunk.at;
        let sent = chunk.sent;
        let total = chunk.total;
        let offset = if at.index <= self.commit {
            total
        } else {
            self.append_chunk(from, chunk)
        };
        if offset >= total && at.index > self.commit {
            self.install();
        }
        self.send(from, Body::ChunkReply { at, offset, sent });
    }

    /// Appends a chunk if it is the next one and returns how many bytes were received without a
    /// gap. A chunk of another snapshot or leader discards the data received so far.
    fn append_chunk(&mut self, from: ReplicaId, chunk: Chunk) -> u64 {
        let known = self.incoming.take();
        let mut incoming = known
            .filter(|known| known.at == chunk.at && known.from == from)
            .unwrap_or(IncomingSnapshot {
                from,
                at: chunk.at,
                members: chunk.members,
                data: Vec::new(),
            });
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let offset = incoming.data.len() as u64;
        self.incoming = Some(incoming);
        offset
    }

    fn install(&mut self) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = Snapshot {
            at: incoming.at,
            members: incoming.members,
            data: incoming.data,
        };
        self.replace_state(snapshot);
    }

    /// Replaces the state by a snapshot; entries after it are kept if the log matches it.
    pub(super) fn replace_state(&mut self, snapshot: Snapshot) {
        let at = snapshot.at;
        let kept = if self.log.term_at(at.index) == Some(at.term) {
            self.log.slice(at.index + 1, u64::MAX)
        } else {
            Vec::new()
        };
        self.members = vec![(at.index, snapshot.members.clone())];
        self.members
            .extend(kept.iter().filter_map(|entry| match &entry.payload {
                Payload::Members(members) => Some((entry.at.index, members.clone())),
                _ => None,
            }));
        self.writes.entries.clear();
        self.writes.snapshot = Some(snapshot.clone());
        self.log = Log::open(at, kept);
        self.commit = at.index;
        self.snapshot = Arc::new(snapshot);
        self.installed = Some(Arc::clone(&self.snapshot));
    }
}
