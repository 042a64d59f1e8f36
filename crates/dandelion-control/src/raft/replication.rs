//! Log replication: appends sent by the leader and received by followers.

use dandelion_protocol::time::Millis;

use crate::raft::membership::Membership;
use crate::raft::message::Body;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::types::Entry;
use crate::raft::types::Payload;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;

/// Most bytes of entries in one append; a larger entry is sent alone.
pub const APPEND_BYTES: u64 = 256 * 1024;

impl Replica {
    /// Reports that all writes taken so far are synced. A leader then advances its commit index and
    /// sends new entries.
    pub fn synced(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let before = self.commit;
        self.advance_commit(now);
        if self.role == Role::Leader {
            self.send_new(now, self.commit > before);
        }
    }

    fn advance_commit(&mut self, now: Millis) {
        let last = self.log.last().index;
        let matched = |id: ReplicaId| match self.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == self.id => last,
            None => 0,
        };
        let Some(index) = self.membership().quorum_value(matched) else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.hard.term);
        if index <= self.commit || !own_term {
            return;
        }
        self.commit = index;
        let removed = !self.membership().is_voter(self.id);
        if removed && self.members_committed() {
            self.send_heartbeats(now);
            let term = self.hard.term;
            self.become_follower(now, term);
        }
    }

    /// Returns whether the latest membership change is committed.
    pub fn members_committed(&self) -> bool {
        self.members.last().is_none_or(|(at, _)| *at <= self.commit)
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        let ids = self.progress.keys().copied().collect::<Vec<_>>();
        for id in ids {
            self.send_append(now, id);
        }
    }

    /// Sends unsent entries to all replicas within their send window. If the commit index moved,
    /// pipelined replicas without new entries get an empty append that carries it.
    fn send_new(&mut self, now: Millis, moved: bool) {
        let last = self.log.last().index;
        let ids = self.progress.keys().copied().collect::<Vec<_>>();
        for id in ids {
            let mut notified = !moved;
            while self.can_send_entries(id, last) {
                self.send_append(now, id);
                notified = true;
            }
            if !notified && self.is_pipelined(id) {
                self.send_append(now, id);
            }
        }
    }

    fn is_pipelined(&self, id: ReplicaId) -> bool {
        let progress = self.progress.get(&id);
        progress.is_some_and(|p| p.pipelined && p.transfer.is_none())
    }

    /// Returns whether the replica has unsent entries and its send window is not exhausted.
    fn can_send_entries(&self, id: ReplicaId, last: u64) -> bool {
        let progress = self.progress.get(&id);
        progress.is_some_and(|p| p.may_send() && p.next <= last)
    }

    /// Sends entries or a heartbeat; a replica whose next entry was compacted away gets the
    /// snapshot.
    pub(super) fn send_append(&mut self, now: Millis, id: ReplicaId) {
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        if progress.transfer.is_some() {
            self.resend_chunk(now, id);
            return;
        }
        let Some(prev) = self.log.position(progress.next - 1) else {
            self.start_transfer(now, id);
            return;
        };
        let entries = if progress.may_send() {
            self.log.slice(progress.next, APPEND_BYTES)
        } else {
            Vec::new()
        };
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.next += entries.len() as u64;
        }
        let body = Body::Append {
            prev,
            commit: self.commit,
            sent: now,
            entries,
        };
        self.send(id, body);
    }

    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: Position,
        commit: u64,
        sent: Millis,
        entries: Vec<Entry>,
    ) {
        let end = prev.index + entries.len() as u64;
        let accepted = self.has_position(prev);
        let index = if accepted {
            end
        } else {
            self.conflict_hint(prev)
        };
        if accepted {
            self.append_entries(entries);
            self.commit = self.commit.max(commit.min(end));
        }
        let body = Body::AppendReply {
            accepted,
            index,
            sent,
        };
        self.send(from, body);
    }

    /// Returns whether the log matches the leader's at `prev`. Positions that the snapshot covers
    /// are committed and therefore match.
    fn has_position(&self, prev: Position) -> bool {
        prev.index <= self.snapshot.at.index || self.log.term_at(prev.index) == Some(prev.term)
    }

    /// Returns the last index at which the logs may match: all entries of the conflicting entry's
    /// term are skipped together.
    fn conflict_hint(&self, prev: Position) -> u64 {
        let last = self.log.last().index;
        if prev.index > last {
            return last;
        }
        let differing = self.log.term_at(prev.index);
        let mut index = prev.index;
        while index > self.commit && self.log.term_at(index) == differing {
            index -= 1;
        }
        index
    }

    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let index = entry.at.index;
            if index <= self.log.base().index || index <= self.snapshot.at.index {
                continue;
            }
            match self.log.term_at(index) {
                Some(term) if term == entry.at.term => continue,
                Some(_) => self.truncate(index),
                None => {}
            }
            self.push(entry);
        }
    }

    fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.members.retain(|(at, _)| *at < index || *at == 0);
        self.writes.entries.retain(|entry| entry.at.index < index);
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Millis,
        from: ReplicaId,
        accepted: bool,
        index: u64,
        sent: Millis,
    ) {
        let last = self.log.last().index;
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.record_echo(sent);
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.pipelined = true;
            return;
        }
        if progress.transfer.is_some() {
            return;
        }
        progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
        progress.pipelined = false;
        self.send_append(now, from);
    }

    /// Appends a membership change if this replica leads and no other change is uncommitted. One
    /// change at a time adds or removes at most one voter, so that old and new quorums overlap.
    pub(super) fn propose_members(&mut self, members: Membership) -> Option<Position> {
        if self.leading_term().is_none() || !self.members_committed() {
            return None;
        }
        self.propose(Payload::Members(members))
    }
}
