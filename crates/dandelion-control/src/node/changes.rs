//! Changes of the voters: one at a time, asked for by operators or by repairs.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;

use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::raft::ChangeError;
use crate::raft::Position;
use crate::raft::ReplicaId;
use crate::raft::VoterChange;
use crate::raft::bootstrap::MAX_PROMOTION_LAG;
use crate::storage::Storage;

/// Voters that do not answer this leader, with the time since when.
pub type Silent = BTreeMap<ReplicaId, Millis>;

/// A change of an operator that is under way.
#[derive(Debug, Clone)]
pub struct Plan {
    ticket: u64,
    at: Position,
    /// Voter to remove once the first step is committed.
    then: Option<DaemonId>,
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    pub(super) fn on_change(
        &mut self,
        now: Millis,
        ticket: u64,
        change: VoterChange,
        actions: &mut Vec<NodeAction>,
    ) {
        let begun = if self.plan.is_some() {
            Err(ChangeError::Busy)
        } else {
            self.begin_change(now, &change)
        };
        match begun {
            Ok(at) => {
                let then = match change {
                    VoterChange::Replace { old, .. } => Some(old),
                    VoterChange::Add(_) | VoterChange::Remove(_) => None,
                };
                self.plan = Some(Plan { ticket, at, then });
            }
            Err(error) => {
                let result = Err(error);
                actions.push(NodeAction::Changed { ticket, result });
            }
        }
    }

    fn begin_change(&mut self, now: Millis, change: &VoterChange) -> Result<Position, ChangeError> {
        match change {
            VoterChange::Add(daemon) => self.replica.add_voter(daemon),
            VoterChange::Remove(daemon) => self.replica.remove_replica(now, daemon),
            VoterChange::Replace { old, new } => {
                let voter = self.replica.membership().newest_replica(old, true);
                if voter.is_none() {
                    return Err(ChangeError::Unknown {
                        daemon: old.clone(),
                        wanted: "voter".to_owned(),
                    });
                }
                self.replica.add_voter(new)
            }
        }
    }

    /// Goes on with an operator's change once its last step is committed.
    pub(super) fn tick_plan(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let Some(plan) = self.plan.clone() else {
            return;
        };
        if self.replica.commit() < plan.at.index {
            return;
        }
        let next = plan
            .then
            .as_ref()
            .map(|old| self.replica.remove_replica(now, old));
        match next {
            None => self.finish_plan(plan.ticket, Ok(()), actions),
            Some(Ok(at)) => {
                self.plan = Some(Plan {
                    at,
                    then: None,
                    ..plan
                });
            }
            // A repair is under way, or the new voter has not answered yet.
            Some(Err(ChangeError::Busy | ChangeError::NoQuorum { .. })) => {}
            Some(Err(error)) => self.finish_plan(plan.ticket, Err(error), actions),
        }
    }

    fn finish_plan(
        &mut self,
        ticket: u64,
        result: Result<(), ChangeError>,
        actions: &mut Vec<NodeAction>,
    ) {
        self.plan = None;
        actions.push(NodeAction::Changed { ticket, result });
    }

    pub(super) fn lose_plan(&mut self, actions: &mut Vec<NodeAction>) {
        if let Some(plan) = self.plan.take() {
            self.finish_plan(plan.ticket, Err(ChangeError::Lost), actions);
        }
    }

    /// Repairs the set of voters: a voter whose daemon came back under a new identity is replaced
    /// by it, one that is silent for long by a learner, and learners fill up missing voters.
    pub(super) fn tick_repair(&mut self, now: Millis) {
        if self.replica.leading_term().is_none() {
            self.silent.clear();
            return;
        }
        self.note_silent(now);
        if self.plan.is_some() || !self.replica.members_committed() {
            return;
        }
        if self.tick_retiring(now) {
            return;
        }
        if let Some(id) = self.surplus(now) {
            self.replica.remove_voter(now, id);
            return;
        }
        if self.replica.membership().outdated_voter().is_some() {
            self.replica.remove_outdated(now);
            return;
        }
        if let Some(daemon) = self.promotable(now) {
            // Refusals are retried with the next tick.
            let _ = self.replica.add_voter(&daemon);
        }
    }

    /// Removes a replica of a daemon that leaves, once enough others vote; returns whether one is
    /// left.
    fn tick_retiring(&mut self, now: Millis) -> bool {
        let members = self.replica.membership();
        let leaves = |id: &ReplicaId| {
            let daemon = members.replicas.get(id).map(|r| &r.daemon);
            daemon.is_some_and(|daemon| self.retiring.contains(daemon))
        };
        let Some(id) = members.replicas.keys().find(|id| leaves(id)).copied() else {
            return false;
        };
        let enough = members.voters().count() > self.settings.voters;
        if !members.is_voter(id) || enough {
            if id == self.replica.id() {
                // Another leader removes this replica.
                self.replica.resign(now);
            } else {
                self.replica.remove_voter(now, id);
            }
        } else if let Some(daemon) = self.promotable(now) {
            // Refusals are retried with the next tick.
            let _ = self.replica.add_voter(&daemon);
        }
        true
    }

    fn note_silent(&mut self, now: Millis) {
        let replica = &self.replica;
        let members = replica.membership();
        self.silent
            .retain(|id, _| members.is_voter(*id) && !replica.is_alive(now, *id));
        for id in members.voters().filter(|id| !replica.is_alive(now, *id)) {
            self.silent.entry(id).or_insert(now);
        }
    }

    /// Returns the voter that has been silent for longest, if that is long enough.
    fn gone(&self, now: Millis) -> Option<ReplicaId> {
        let patience = self.settings.timing.replace_after;
        let silent = self.silent.iter();
        let gone = silent.filter(|(_, since)| **since + patience <= now);
        gone.min_by_key(|(_, since)| **since).map(|(id, _)| *id)
    }

    /// Returns a silent voter for which another one has been added.
    fn surplus(&self, now: Millis) -> Option<ReplicaId> {
        let voters = self.replica.membership().voters().count();
        self.gone(now).filter(|_| voters > self.settings.voters)
    }

    fn promotable(&self, now: Millis) -> Option<DaemonId> {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let leaves = |id: ReplicaId| self.retiring.contains(&members.replicas[&id].daemon);
        let leaving = members.voters().any(leaves);
        let replaces = voters == self.settings.voters && (leaving || self.gone(now).is_some());
        let missing = voters < self.settings.voters || replaces;
        let zones = members.voters().map(|id| &members.replicas[&id].zone);
        let zones = zones.collect::<Vec<_>>();
        let ready = |id: ReplicaId| {
            let near = self.replica.lag(id) <= MAX_PROMOTION_LAG;
            self.replica.is_alive(now, id) && near && !leaves(id)
        };
        let learners = members.replicas.iter().filter(|(_, r)| !r.voter);
        let mut wanted = learners.filter(|(id, r)| {
            let returned = members.newest_replica(&r.daemon, true).is_some();
            (missing || returned) && ready(**id)
        });
        let first = wanted.clone().find(|(_, r)| !zones.contains(&&r.zone));
        first
            .or_else(|| wanted.next())
            .map(|(_, r)| r.daemon.clone())
    }
}
