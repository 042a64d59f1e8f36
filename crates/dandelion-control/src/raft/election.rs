//! Elections with pre-vote, leadership transfer and the leader's check that a quorum answers.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use rand::Rng;

use crate::raft::faults::Fault;
use crate::raft::message::Body;
use crate::raft::progress::Progress;
use crate::raft::replica::Replica;
use crate::raft::replica::Role;
use crate::raft::types::HardState;
use crate::raft::types::Payload;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;

impl Replica {
    /// Advances time: starts elections, sends heartbeats and deposes a leader without a quorum.
    pub fn tick(&mut self, now: Millis) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Steps down after `promise` and `election_jitter` without contact to a quorum; otherwise
    /// sends heartbeats when due.
    fn tick_leader(&mut self, now: Millis) {
        let timing = self.settings.timing;
        let last_contact = self
            .quorum_contact(now)
            .unwrap_or_default()
            .max(self.elected_at);
        if now >= last_contact + timing.promise + timing.election_jitter {
            let term = self.hard.term;
            self.become_follower(now, term);
            return;
        }
        if now >= self.last_heartbeat + timing.heartbeat {
            self.last_heartbeat = now;
            self.send_heartbeats(now);
        }
    }

    /// Returns whether this replica must not help to elect another leader: its promise to a leader,
    /// or its own lease as the leader, may be unexpired.
    fn is_promised(&self, now: Millis) -> bool {
        let timing = self.settings.timing;
        let lease = self.quorum_contact(now).map(|start| start + timing.promise);
        let promise = self.last_contact + timing.promise;
        let held = now < promise.max(lease.unwrap_or_default());
        held && self.settings.fault != Some(Fault::SkipPromise)
    }

    fn start_pre_vote(&mut self, now: Millis) {
        self.election_deadline = now + self.retry_delay();
        if self.is_promised(now) || !self.membership().is_voter(self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeMap::from([(self.id, true)]);
        if self.has_won() {
            self.start_election(now, false);
            return;
        }
        let last = self.log.last();
        let term = self.hard.term.next();
        for id in self.other_voters() {
            self.send_as(id, term, Body::PreVote { last });
        }
    }

    fn retry_delay(&mut self) -> Millis {
        let spread = self.settings.timing.election_jitter.0;
        Millis(spread / 2 + self.rng.random_range(0..=spread / 2))
    }

    fn start_election(&mut self, now: Millis, leader_transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard = HardState {
            term: self.hard.term.next(),
            vote: Some(self.id),
        };
        self.save_hard();
        self.votes = BTreeMap::from([(self.id, true)]);
        self.election_deadline = now + self.retry_delay();
        if self.has_won() {
            self.become_leader(now);
            return;
        }
        let last = self.log.last();
        for id in self.other_voters() {
            self.send(
                id,
                Body::Vote {
                    last,
                    leader_transfer,
                },
            );
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.id;
        self.membership().voters().filter(|id| *id != own).collect()
    }

    fn has_won(&self) -> bool {
        let granted = |id: ReplicaId| self.votes.get(&id).copied().unwrap_or(false);
        self.membership().has_quorum(granted)
    }

    /// Returns whether a candidate whose log ends at `last` lacks entries that this replica has.
    fn is_behind(&self, last: Position) -> bool {
        last < self.log.last() && self.settings.fault != Some(Fault::IgnoreLog)
    }

    pub(super) fn on_pre_vote(&mut self, now: Millis, from: ReplicaId, term: Term, last: Position) {
        let granted = term > self.hard.term && !self.is_behind(last) && !self.is_promised(now);
        let reply_term = if granted { term } else { self.hard.term };
        self.send_as(from, reply_term, Body::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(now, term);
            }
            return;
        }
        let asked = self.role == Role::PreCandidate && term == self.hard.term.next();
        if !asked {
            return;
        }
        self.votes.insert(from, true);
        if self.has_won() {
            self.start_election(now, false);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        last: Position,
        leader_transfer: bool,
    ) {
        // A promise to the leader of an earlier term ends when that leader transfers its
        // leadership.
        let released = leader_transfer && term > self.hard.term;
        if self.is_promised(now) && !released {
            return;
        }
        if term > self.hard.term {
            self.become_follower(now, term);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let unused = free || self.settings.fault == Some(Fault::DoubleVote);
        let granted = term == self.hard.term && unused && !self.is_behind(last);
        if granted {
            self.hard.vote = Some(from);
            self.save_hard();
            self.reset_election_deadline(now);
        }
        self.send(from, Body::VoteReply { granted });
    }

    /// Transfers the leadership to a voter that has every entry, and steps down. Returns false, and
    /// goes on leading, while entries are uncommitted or no live voter is up to date.
    pub fn resign(&mut self, now: Millis) -> bool {
        let last = self.log.last().index;
        if self.leading_term().is_none() || self.commit < last {
            return false;
        }
        let ready = |id: &ReplicaId| self.is_alive(now, *id) && self.lag(*id) == 0;
        let Some(next) = self.other_voters().into_iter().find(ready) else {
            return false;
        };
        self.send(next, Body::TimeoutNow);
        let term = self.hard.term;
        self.become_follower(now, term);
        true
    }

    pub(super) fn on_timeout_now(&mut self, now: Millis) {
        let follows = self.role != Role::Leader && self.membership().is_voter(self.id);
        if follows {
            self.start_election(now, true);
        }
    }

    pub(super) fn on_vote_reply(&mut self, now: Millis, from: ReplicaId, granted: bool) {
        if self.role != Role::Candidate {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_won() {
            self.become_leader(now);
        }
    }

    /// Becomes a follower in `term`, with no leader known.
    pub(super) fn become_follower(&mut self, now: Millis, term: Term) {
        if self.role == Role::Leader {
            // A leader's promise to itself runs from the last contact to a quorum, as its lease
            // does.
            self.last_contact = self
                .last_contact
                .max(self.quorum_contact(now).unwrap_or_default());
        }
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.save_hard();
        }
        self.role = Role::Follower;
        self.leader = None;
        self.votes.clear();
        self.progress.clear();
        self.reset_election_deadline(now);
    }

    fn become_leader(&mut self, now: Millis) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_at = now;
        self.last_heartbeat = now;
        self.first_index = self.log.last().index + 1;
        self.progress.clear();
        self.track_members();
        self.send_heartbeats(now);
        self.propose(Payload::Empty);
    }

    /// Adds and removes progress records so that a leader has one for each other replica.
    pub(super) fn track_members(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last().index;
        let ids = self.membership().replicas.keys().copied();
        let others = ids.filter(|id| *id != self.id).collect::<Vec<_>>();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress
                .entry(id)
                .or_insert_with(|| Progress::open(last));
        }
    }
}
