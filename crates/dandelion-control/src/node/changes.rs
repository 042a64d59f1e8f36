//! Changes of the voters, one at a time: requested by operators or made by automatic repair.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
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

/// Replicas that do not reply to this leader, with the time since when.
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

    /// Repairs the set of voters, one change at a time: a voter whose daemon came back with a new
    /// identity is replaced by that one, a voter that stops as planned by a learner that was added for
    /// it, and so is a lost voter; learners are promoted while voters are missing. Lost voters come before
    /// retiring ones, which still vote.
    pub(super) fn tick_repair(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        if self.replica.leading_term().is_none() {
            self.unresponsive.clear();
            return;
        }
        self.track_unresponsive(now);
        if self.voter_change.is_some() || !self.replica.members_committed() {
            return;
        }
        let changed = self.replica.remove_outdated(now).is_some()
            || self.tick_handover(now, actions)
            || self.tick_lost(now, actions)
            || self.tick_retiring(now);
        if changed {
            return;
        }
        if let Some(daemon) = self.promotion_candidate(now) {
            // A refused change is tried again at the next tick.
            let _ = self.replica.add_voter(&daemon);
        } else if let Some(id) = self.ended_replica(now) {
            self.replica.remove_voter(now, id);
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

    /// Completes a change of two voters, or hands the vote of a daemon that stops as planned over to a
    /// substitute: makes the learner a voter, then takes the vote of the old one. The second step is part of
    /// the membership, so that any later leader completes it, also once the old voter has ended. Returns
    /// whether a change was tried.
    fn tick_handover(&mut self, now: Millis, actions: &mut Vec<NodeAction>) -> bool {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let outgoing = members.voters().find(|id| members.replicas[id].outgoing);
        if let Some(old) = outgoing.filter(|_| voters > self.settings.voters) {
            if members.replicas[&old].withdrawn && old != self.replica.id() {
                self.replica.withdraw_vote(now, old);
            } else {
                self.remove_or_resign(now, old);
            }
            return true;
        }
        if voters != self.settings.voters {
            return false;
        }
        let stops = |id: &ReplicaId| self.stopping.contains(&members.replicas[id].daemon);
        let change = members.voters().filter(stops).find_map(|old| {
            let learner = self.successor(now, old, |_, r| r.is_substitute());
            Some((learner?, old))
        });
        let Some((id, old)) = change else {
            return false;
        };
        let from = members.replicas[&old].daemon.clone();
        let to = members.replicas[&id].daemon.clone();
        let started = self.replica.add_successor(now, id, old, false).is_some();
        if started {
            actions.push(NodeAction::HandOver { from, to });
        }
        started
    }

    /// Returns the learner that gets the vote of `old`, among those that are ready and satisfy `is_eligible`.
    /// A learner of the same zone comes first, then one of the zone with the fewest other voters, then a
    /// substitute, then the one that joined first.
    fn successor<F>(&self, now: Millis, old: ReplicaId, is_eligible: F) -> Option<ReplicaId>
    where
        F: Fn(ReplicaId, &ReplicaInfo) -> bool,
    {
        let members = self.replica.membership();
        let lost_zone = &members.replicas[&old].zone;
        let others = |zone: &ZoneId| {
            let others = members.voters().filter(|id| *id != old);
            others
                .filter(|id| members.replicas[id].zone == *zone)
                .count()
        };
        let learners = members.replicas.iter().filter(|(_, r)| !r.voter);
        let eligible = learners.filter(|(id, r)| {
            let stays = !self.stopping.contains(&r.daemon);
            stays && self.is_ready(now, **id) && is_eligible(**id, r)
        });
        let rank = |(_, r): &(&ReplicaId, &ReplicaInfo)| {
            let elsewhere = r.zone != *lost_zone;
            (elsewhere, others(&r.zone), !r.is_substitute(), r.joined)
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
        let is_silent = |id: &ReplicaId| !replica.is_alive(now, *id);
        self.unresponsive
            .retain(|id, _| members.replicas.contains_key(id) && is_silent(id));
        for id in members.replicas.keys().filter(|id| is_silent(id)) {
            self.unresponsive.entry(*id).or_insert(now);
        }
    }

    /// Begins to replace a lost voter, as for one that stops. In place of a substitute it becomes one itself,
    /// and follows at once if it comes back. Returns whether a change was started.
    fn tick_lost(&mut self, now: Millis, actions: &mut Vec<NodeAction>) -> bool {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let mut lost = self.failed_voters(now).into_iter();
        if voters > self.settings.voters {
            let withdrawn = lost
                .next()
                .and_then(|old| self.replica.withdraw_vote(now, old));
            return withdrawn.is_some();
        }
        if voters < self.settings.voters {
            return false;
        }
        let change = lost.find_map(|old| Some((self.substitute(now, old)?, old)));
        let Some((id, old)) = change else {
            return false;
        };
        let from = members.replicas[&old].daemon.clone();
        let to = members.replicas[&id].daemon.clone();
        let silent = now.since(self.unresponsive[&old]);
        let exchanged = members.replicas[&id].is_substitute();
        let started = self
            .replica
            .add_successor(now, id, old, exchanged)
            .is_some();
        if started {
            actions.push(NodeAction::WithdrawVote { from, to, silent });
        }
        started
    }

    /// Returns the learner that gets the vote of a voter that has failed.
    ///
    /// A substitute gets it at once, if it keeps the spread over the zones. That the voter has failed follows
    /// from the group's heartbeats, as for a leader that followers give up, and not from how soon a further
    /// loss may come. Other learners get it after `replace_after`.
    fn substitute(&self, now: Millis, old: ReplicaId) -> Option<ReplicaId> {
        let since = self.unresponsive.get(&old)?;
        let is_overdue = *since + self.settings.timing.replace_after <= now;
        self.successor(now, old, |id, r| {
            is_overdue || r.is_substitute() && self.keeps_spread(id, old)
        })
    }

    /// Returns the voters that have failed, the one that has been silent for longest first.
    fn failed_voters(&self, now: Millis) -> Vec<ReplicaId> {
        let members = self.replica.membership();
        let failed = members.voters().filter(|id| self.has_failed(now, *id));
        let mut failed = failed.collect::<Vec<_>>();
        failed.sort_by_key(|id| self.unresponsive.get(id).copied());
        failed
    }

    /// Returns whether a replica counts as failed: it is unresponsive, and has been for another `promise`. So
    /// a new leader hears of each replica first, and a pause of a second costs no voter its vote.
    pub(super) fn has_failed(&self, now: Millis, id: ReplicaId) -> bool {
        let since = self.unresponsive.get(&id);
        since.is_some_and(|since| *since + self.settings.timing.promise <= now)
    }

    /// Returns whether, with a learner in the place of voter `old`, the loss of the learner's zone leaves a
    /// quorum or takes no more voters than before.
    fn keeps_spread(&self, learner: ReplicaId, old: ReplicaId) -> bool {
        let members = self.replica.membership();
        let zone = &members.replicas[&learner].zone;
        let in_zone = |id: &ReplicaId| members.replicas[id].zone == *zone;
        let others = members.voters().filter(|id| *id != old && in_zone(id));
        in_zone(&old) || others.count() < (self.settings.voters - 1) / 2
    }

    /// Returns a replica that has lost its vote and has not replied for `replace_after` either: its daemon
    /// has ended for good, and its record would take a place in the group.
    fn ended_replica(&self, now: Millis) -> Option<ReplicaId> {
        let members = self.replica.membership();
        let replace_after = self.settings.timing.replace_after;
        let is_overdue = |id: &ReplicaId| {
            let since = self.unresponsive.get(id);
            since.is_some_and(|since| *since + replace_after <= now)
        };
        let mut withdrawn = members.replicas.iter().filter(|(_, r)| r.withdrawn);
        withdrawn.find(|(id, _)| is_overdue(id)).map(|(id, _)| *id)
    }

    /// Returns the daemon of the learner to promote next, if a voter is missing or retires, or if the
    /// daemon has an outdated voter. Zones with the fewest voters come first, then learners that were
    /// added for a lost voter.
    fn promotion_candidate(&self, now: Millis) -> Option<DaemonId> {
        let members = self.replica.membership();
        let voters = members.voters().count();
        let is_retiring = |id: ReplicaId| self.retiring.contains(&members.replicas[&id].daemon);
        let is_silent = |id: ReplicaId| !is_retiring(id) && self.unresponsive.contains_key(&id);
        // A learner that was added for a lost voter must not replace one that still votes.
        let replaces = voters == self.settings.voters
            && members.voters().any(is_retiring)
            && !members.voters().any(is_silent);
        let missing = voters < self.settings.voters || replaces;
        let learners = members.replicas.iter().filter(|(_, r)| !r.voter);
        let eligible = learners.filter(|(id, r)| {
            let returned = members.newest_replica(&r.daemon, true).is_some();
            (missing || returned) && self.is_ready(now, **id)
        });
        let in_zone = |r: &ReplicaInfo| {
            let zones = members.voters().map(|id| &members.replicas[&id].zone);
            zones.filter(|zone| **zone == r.zone).count()
        };
        let first = eligible.min_by_key(|(_, r)| (in_zone(r), !r.is_substitute(), r.joined));
        first.map(|(_, r)| r.daemon.clone())
    }
}
