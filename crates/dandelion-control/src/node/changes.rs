//! Changes of the voters, one at a time: requested by operators or made by automatic repair.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;

use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::raft::ChangeError;
use crate::raft::Position;
use crate::raft::ReplicaId;
use crate::raft::ReplicaInfo;
use crate::raft::VoterChange;
use crate::raft::bootstrap::MAX_PROMOTION_LAG;
use crate::storage::Storage;

/// Voters that do not reply to this leader, with the time since when.
pub type Unresponsive = BTreeMap<ReplicaId, Millis>;

/// An operator's change of the voters that is in progress.
#[derive(Debug, Clone)]
pub struct PendingChange {
    ticket: u64,
    /// Log position of the last step.
    at: Position,
    /// Daemon whose voter is removed once the first step is committed.
    then_remove: Option<DaemonId>,
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    pub(super) fn on_voter_change(
        &mut self,
        now: Millis,
        ticket: u64,
        change: VoterChange,
        actions: &mut Vec<NodeAction>,
    ) {
        let started = if self.voter_change.is_some() {
            Err(ChangeError::Busy)
        } else {
            self.start_voter_change(now, &change)
        };
        match started {
            Ok(at) => {
                let then_remove = match change {
                    VoterChange::Replace { old, .. } => Some(old),
                    VoterChange::Add(_) | VoterChange::Remove(_) => None,
                };
                self.voter_change = Some(PendingChange {
                    ticket,
                    at,
                    then_remove,
                });
            }
            Err(error) => {
                let result = Err(error);
                actions.push(NodeAction::Changed { ticket, result });
            }
        }
    }

    fn start_voter_change(
        &mut self,
        now: Millis,
        change: &VoterChange,
    ) -> Result<Position, ChangeError> {
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

    /// Continues or finishes an operator's change once its last step is committed.
    pub(super) fn tick_voter_change(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let Some(pending) = self.voter_change.clone() else {
            return;
        };
        if self.replica.commit() < pending.at.index {
            return;
        }
        let next = pending
            .then_remove
            .as_ref()
            .map(|old| self.replica.remove_replica(now, old));
        match next {
            None => self.finish_voter_change(pending.ticket, Ok(()), actions),
            Some(Ok(at)) => {
                self.voter_change = Some(PendingChange {
                    at,
                    then_remove: None,
                    ..pending
                });
            }
            // A repair is in progress, or the new voter has not replied yet: tried again next step.
            Some(Err(ChangeError::Busy | ChangeError::NoQuorum { .. })) => {}
            Some(Err(error)) => self.finish_voter_change(pending.ticket, Err(error), actions),
        }
    }

    fn finish_voter_change(
        &mut self,
        ticket: u64,
        result: Result<(), ChangeError>,
        actions: &mut Vec<NodeAction>,
    ) {
        self.voter_change = None;
        actions.push(NodeAction::Changed { ticket, result });
    }

    pub(super) fn abort_voter_change(&mut self, actions: &mut Vec<NodeAction>) {
        if let Some(pending) = self.voter_change.take() {
            self.finish_voter_change(pending.ticket, Err(ChangeError::Lost), actions);
        }
    }

    /// Repairs the set of voters: a voter whose daemon came back with a new identity is replaced by
    /// that one, a voter that stops as planned is replaced by a learner that was added for it, a voter
    /// that has not replied for `replace_after` is replaced by any learner, and learners are promoted
    /// while voters are missing.
    pub(super) fn tick_repair(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        if self.replica.leading_term().is_none() {
            self.unresponsive.clear();
            return;
        }
        self.track_unresponsive(now);
        if self.voter_change.is_some() || !self.replica.members_committed() {
            return;
        }
        if self.tick_retiring(now) || self.tick_handover(now, actions) {
            return;
        }
        if let Some(id) = self.surplus_voter(now) {
            self.replica.remove_voter(now, id);
            return;
        }
        if self.replica.membership().outdated_voter().is_some() {
            self.replica.remove_outdated(now);
            return;
        }
        if let Some(daemon) = self.promotion_candidate(now) {
            // A refused change is tried again at the next tick.
            let _ = self.replica.add_voter(&daemon);
        }
    }

    /// Removes a replica of a retiring daemon, once there are enough other voters; returns whether
    /// one was found.
    fn tick_retiring(&mut self, now: Millis) -> bool {
        let members = self.replica.membership();
        let is_retiring = |id: &ReplicaId| {
            let daemon = members.replicas.get(id).map(|r| &r.daemon);
            daemon.is_some_and(|daemon| self.retiring.contains(daemon))
        };
        let Some(id) = members.replicas.keys().find(|id| is_retiring(id)).copied() else {
            return false;
        };
        let enough = members.voters().count() > self.settings.voters;
        if !members.is_voter(id) || enough {
            self.remove_or_resign(now, id);
        } else if let Some(daemon) = self.promotion_candidate(now) {
            // A refused change is tried again at the next tick.
            let _ = self.replica.add_voter(&daemon);
        }
        true
    }

    /// Removes a replica, or leaves that to the next leader if it is this one.
    fn remove_or_resign(&mut self, now: Millis, id: ReplicaId) {
        if id == self.replica.id() {
            self.replica.resign(now);
        } else {
            self.replica.remove_voter(now, id);
        }
    }

    /// Hands the vote of a daemon that stops as planned over to a learner that was added for it: makes the
    /// learner a voter, then removes the old one. The second step is part of the membership, so that any
    /// later leader completes it, also once the old voter has ended. Returns whether a change was tried.
    fn tick_handover(&mut self, now: Millis, actions: &mut Vec<NodeAction>) -> bool {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let outgoing = members.voters().find(|id| members.replicas[id].outgoing);
        if let Some(old) = outgoing.filter(|_| voters > self.settings.voters) {
            self.remove_or_resign(now, old);
            return true;
        }
        if voters != self.settings.voters {
            return false;
        }
        let stops = |id: &ReplicaId| self.stopping.contains(&members.replicas[id].daemon);
        let stopping = members.voters().filter(stops).collect::<Vec<_>>();
        let mut stopping = stopping.into_iter();
        let change = stopping.find_map(|old| Some((self.successor(now, old)?, old)));
        let Some((id, old)) = change else {
            return false;
        };
        let from = members.replicas[&old].daemon.clone();
        let to = members.replicas[&id].daemon.clone();
        let started = self.replica.add_successor(now, id, old).is_some();
        if started {
            actions.push(NodeAction::HandOver { from, to });
        }
        started
    }

    /// Returns the learner that gets the vote of `old`, which stops as planned. Only learners that were
    /// added to the running cell and never voted are eligible: in a rolling restart, where each daemon
    /// returns to its vote, there are none. A learner of the same zone comes first, then one of a zone
    /// without a voter, then the one that joined first.
    fn successor(&self, now: Millis, old: ReplicaId) -> Option<ReplicaId> {
        let members = self.replica.membership();
        let others = members.voters().filter(|id| *id != old);
        let zones = others.map(|id| &members.replicas[&id].zone);
        let zones = zones.collect::<Vec<_>>();
        let old = &members.replicas[&old];
        let learners = members.replicas.iter().filter(|(_, r)| !r.voter && r.added);
        let eligible = learners
            .filter(|(id, r)| self.is_ready(now, **id) && !self.stopping.contains(&r.daemon));
        let rank = |(_, r): &(&ReplicaId, &ReplicaInfo)| {
            (r.zone != old.zone, zones.contains(&&r.zone), r.joined)
        };
        eligible.min_by_key(rank).map(|(id, _)| *id)
    }

    /// Returns whether a learner may become a voter: it replies, has nearly caught up and isn't retiring.
    fn is_ready(&self, now: Millis, id: ReplicaId) -> bool {
        let members = self.replica.membership();
        let near = self.replica.lag(id) <= MAX_PROMOTION_LAG;
        let retires = self.retiring.contains(&members.replicas[&id].daemon);
        self.replica.is_alive(now, id) && near && !retires
    }

    fn track_unresponsive(&mut self, now: Millis) {
        let replica = &self.replica;
        let members = replica.membership();
        self.unresponsive
            .retain(|id, _| members.is_voter(*id) && !replica.is_alive(now, *id));
        for id in members.voters().filter(|id| !replica.is_alive(now, *id)) {
            self.unresponsive.entry(id).or_insert(now);
        }
    }

    /// Returns the voter that has not replied for longest, if that is at least `replace_after`.
    fn lost_voter(&self, now: Millis) -> Option<ReplicaId> {
        let replace_after = self.settings.timing.replace_after;
        let unresponsive = self.unresponsive.iter();
        let overdue = unresponsive.filter(|(_, since)| **since + replace_after <= now);
        overdue.min_by_key(|(_, since)| **since).map(|(id, _)| *id)
    }

    /// Returns the lost voter once another one has been added in its place.
    fn surplus_voter(&self, now: Millis) -> Option<ReplicaId> {
        let voters = self.replica.membership().voters().count();
        self.lost_voter(now)
            .filter(|_| voters > self.settings.voters)
    }

    /// Returns the daemon of the learner to promote next, if a voter is missing or to be replaced,
    /// or if the daemon has an outdated voter. Zones without a voter are preferred.
    fn promotion_candidate(&self, now: Millis) -> Option<DaemonId> {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let is_retiring = |id: ReplicaId| self.retiring.contains(&members.replicas[&id].daemon);
        let any_retiring = members.voters().any(is_retiring);
        let replaces =
            voters == self.settings.voters && (any_retiring || self.lost_voter(now).is_some());
        let missing = voters < self.settings.voters || replaces;
        let zones = members.voters().map(|id| &members.replicas[&id].zone);
        let zones = zones.collect::<Vec<_>>();
        let learners = members.replicas.iter().filter(|(_, r)| !r.voter);
        let mut eligible = learners.filter(|(id, r)| {
            let returned = members.newest_replica(&r.daemon, true).is_some();
            (missing || returned) && self.is_ready(now, **id)
        });
        let first = eligible.clone().find(|(_, r)| !zones.contains(&&r.zone));
        first
            .or_else(|| eligible.next())
            .map(|(_, r)| r.daemon.clone())
    }
}
