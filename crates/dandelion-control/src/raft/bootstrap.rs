//! Bootstrap of a group, and membership changes requested by operators or by automatic repair.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

use crate::raft::membership::ChangeError;
use crate::raft::membership::MAX_REPLICAS;
use crate::raft::membership::Membership;
use crate::raft::membership::ReplicaInfo;
use crate::raft::message::Join;
use crate::raft::replica::Replica;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;
use crate::raft::types::Snapshot;

/// Most entries that a learner may lack when it becomes a voter.
pub const MAX_PROMOTION_LAG: u64 = 64;

impl Replica {
    /// Returns the request with which this replica asks to be added to a group.
    pub fn join_request(&self) -> Join {
        Join {
            replica: self.id,
            daemon: self.settings.daemon.clone(),
            zone: self.settings.zone.clone(),
            added: self.settings.added && self.membership().is_empty(),
        }
    }

    /// Creates a group, unless this replica knows one. Call it only once all other initial members
    /// have replied that they know none either, and on only one of them: otherwise two groups
    /// arise.
    pub fn bootstrap(&mut self, members: Membership, data: Vec<u8>) {
        if !self.membership().is_empty() {
            return;
        }
        let at = Position {
            term: Term(1),
            index: 1,
        };
        self.hard.term = self.hard.term.max(Term(1));
        self.save_hard();
        self.replace_state(Snapshot { at, members, data });
    }

    /// Adds the sender of a join request as a learner, if this replica leads and the group is not
    /// full.
    pub fn add_learner(&mut self, join: &Join) -> Option<Position> {
        let members = self.membership();
        let known = members.replicas.contains_key(&join.replica);
        if known || members.replicas.len() >= MAX_REPLICAS {
            return None;
        }
        let learner = ReplicaInfo {
            daemon: join.daemon.clone(),
            zone: join.zone.clone(),
            voter: false,
            joined: self.log.last().index + 1,
            added: join.added,
            outgoing: false,
            withdrawn: false,
        };
        let next = members.with_learner(join.replica, learner);
        self.propose_members(next)
    }

    /// Makes the newest learner of a daemon a voter, once it has nearly caught up.
    pub fn add_voter(&mut self, daemon: &DaemonId) -> Result<Position, ChangeError> {
        self.check_change()?;
        let unknown = || ChangeError::Unknown {
            daemon: daemon.clone(),
            wanted: "learner".to_owned(),
        };
        let id = self
            .membership()
            .newest_replica(daemon, false)
            .ok_or_else(unknown)?;
        let lag = self.lag(id);
        if lag > MAX_PROMOTION_LAG {
            return Err(ChangeError::Behind {
                daemon: daemon.clone(),
                lag,
            });
        }
        let next = self.membership().with_voter(id);
        self.propose_members(next).ok_or(ChangeError::Busy)
    }

    /// Makes a learner a voter in the place of a voter, which is to be removed next. Refused unless the
    /// resulting voters have a live quorum. If they are `exchanged`, the voter is made a learner instead.
    pub fn add_successor(
        &mut self,
        now: Millis,
        id: ReplicaId,
        old: ReplicaId,
        exchanged: bool,
    ) -> Option<Position> {
        let next = self.membership().with_successor(id, old, exchanged);
        if !self.has_live_quorum(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Removes the oldest voter of a daemon or, if it has none, its oldest learner.
    pub fn remove_replica(
        &mut self,
        now: Millis,
        daemon: &DaemonId,
    ) -> Result<Position, ChangeError> {
        self.check_change()?;
        let replicas = self.membership().replicas.iter();
        let oldest = replicas
            .filter(|(_, r)| r.daemon == *daemon)
            .min_by_key(|(_, r)| (!r.voter, r.joined))
            .map(|(id, _)| *id);
        let id = oldest.ok_or_else(|| ChangeError::Unknown {
            daemon: daemon.clone(),
            wanted: "replica".to_owned(),
        })?;
        let next = self.membership().without(id);
        if !self.has_live_quorum(now, &next) {
            return Err(ChangeError::NoQuorum {
                daemon: daemon.clone(),
            });
        }
        self.propose_members(next).ok_or(ChangeError::Busy)
    }

    /// Removes a voter whose daemon has a newer replica that votes, if the others have a live
    /// quorum.
    pub fn remove_outdated(&mut self, now: Millis) -> Option<Position> {
        let id = self.membership().outdated_voter()?;
        let next = self.membership().without(id);
        if !self.has_live_quorum(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Makes an unresponsive voter a learner, if the remaining voters have a live quorum.
    pub fn withdraw_vote(&mut self, now: Millis, id: ReplicaId) -> Option<Position> {
        let next = self.membership().with_withdrawn(id);
        if !self.has_live_quorum(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Removes a replica, if the remaining voters have a live quorum.
    pub fn remove_voter(&mut self, now: Millis, id: ReplicaId) -> Option<Position> {
        let next = self.membership().without(id);
        if !self.has_live_quorum(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Returns how many entries a replica is not known to have stored; valid on the leader.
    pub fn lag(&self, id: ReplicaId) -> u64 {
        let last = self.log.last().index;
        let matched = self.progress.get(&id).map_or(0, |p| p.matched);
        if id == self.id { 0 } else { last - matched }
    }

    /// Returns whether a replica replied to a message sent within the last `promise`; valid on the
    /// leader.
    pub fn is_alive(&self, now: Millis, id: ReplicaId) -> bool {
        let promised = self.progress.get(&id).and_then(|p| p.promised);
        let promise = self.settings.timing.promise;
        id == self.id || promised.is_some_and(|at| now < at + promise)
    }

    fn has_live_quorum(&self, now: Millis, members: &Membership) -> bool {
        members.voters().count() > 0 && members.has_quorum(|id| self.is_alive(now, id))
    }

    fn check_change(&self) -> Result<(), ChangeError> {
        if self.leading_term().is_none() {
            return Err(ChangeError::NotLeader);
        }
        if !self.members_committed() {
            return Err(ChangeError::Busy);
        }
        Ok(())
    }
}
