//! First start of a group, and changes of its replicas asked for by operators or repairs.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

use crate::raft::membership::ChangeError;
use crate::raft::membership::MAX_REPLICAS;
use crate::raft::membership::Membership;
use crate::raft::membership::Replicator;
use crate::raft::message::Join;
use crate::raft::replica::Replica;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;
use crate::raft::types::Snapshot;

/// Entries that a learner may lack when it becomes a voter.
pub const MAX_PROMOTION_LAG: u64 = 64;

impl Replica {
    /// Returns how this replica introduces itself.
    pub fn introduction(&self) -> Join {
        Join {
            replica: self.id,
            daemon: self.settings.daemon.clone(),
            zone: self.settings.zone.clone(),
        }
    }

    /// Starts a group. Only for a replica that knows no group, once all others said the same.
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

    /// Adds a replica that introduced itself as a learner, if leading.
    pub fn admit(&mut self, join: &Join) -> Option<Position> {
        let members = self.membership();
        let known = members.replicas.contains_key(&join.replica);
        if known || members.replicas.len() >= MAX_REPLICAS {
            return None;
        }
        let learner = Replicator {
            daemon: join.daemon.clone(),
            zone: join.zone.clone(),
            voter: false,
            joined: self.log.last().index + 1,
        };
        let next = members.with_learner(join.replica, learner);
        self.propose_members(next)
    }

    /// Makes the learner of a daemon a voter.
    pub fn add_voter(&mut self, daemon: &DaemonId) -> Result<Position, ChangeError> {
        self.check_change()?;
        let unknown = || ChangeError::Unknown {
            daemon: daemon.clone(),
            wanted: "learner".to_owned(),
        };
        let id = self
            .membership()
            .newest(daemon, false)
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

    /// Removes the oldest replica of a daemon.
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
        if !self.answers(now, &next) {
            return Err(ChangeError::NoQuorum {
                daemon: daemon.clone(),
            });
        }
        self.propose_members(next).ok_or(ChangeError::Busy)
    }

    /// Removes a voter whose daemon has since come back under a newer identity that votes.
    pub fn remove_outdated(&mut self, now: Millis) -> Option<Position> {
        let id = self.membership().outdated_voter()?;
        let next = self.membership().without(id);
        if !self.answers(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Removes a voter, if the others still make a working quorum.
    pub fn remove_voter(&mut self, now: Millis, id: ReplicaId) -> Option<Position> {
        let next = self.membership().without(id);
        if !self.answers(now, &next) {
            return None;
        }
        self.propose_members(next)
    }

    /// Returns how many entries a replica lacks, as far as the leader knows.
    pub fn lag(&self, id: ReplicaId) -> u64 {
        let last = self.log.last().index;
        let matched = self.progress.get(&id).map_or(0, |p| p.matched);
        if id == self.id { 0 } else { last - matched }
    }

    /// Returns whether a replica answered within the promise time.
    pub fn is_alive(&self, now: Millis, id: ReplicaId) -> bool {
        let promised = self.progress.get(&id).and_then(|p| p.promised);
        let promise = self.settings.timing.promise;
        id == self.id || promised.is_some_and(|at| now < at + promise)
    }

    fn answers(&self, now: Millis, members: &Membership) -> bool {
        members.voters().count() > 0 && members.has_quorum(|id| self.is_alive(now, id))
    }

    fn check_change(&self) -> Result<(), ChangeError> {
        if self.leads().is_none() {
            return Err(ChangeError::NotLeader);
        }
        if !self.members_committed() {
            return Err(ChangeError::Busy);
        }
        Ok(())
    }
}
