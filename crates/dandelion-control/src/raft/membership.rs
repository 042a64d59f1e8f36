//! Membership of a group: its replicas, and changes of them.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::raft::types::GroupId;
use crate::raft::types::ReplicaId;

/// Most replicas in one group, learners included.
pub const MAX_REPLICAS: usize = 64;

/// A member of the group, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a field of the log that earlier releases read or ignore"
)]
pub struct ReplicaInfo {
    /// Daemon that runs the replica.
    pub daemon: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Whether it votes; otherwise it is a learner, which only receives the log.
    pub voter: bool,
    /// Log index at which it was added; tells newer from older replicas of one daemon.
    pub joined: u64,
    /// Whether its daemon was started with an empty folder after the cell's first start, and the replica
    /// has not voted yet.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub added: bool,
    /// Whether a learner was made a voter in its place, so that it is to be removed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub outgoing: bool,
    /// Whether its vote goes to a substitute because it did not reply: it is an outgoing voter, then a
    /// learner.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub withdrawn: bool,
}

impl ReplicaInfo {
    /// Returns whether this is a learner that takes over the vote of a voter that stops as planned or is
    /// lost: it was added for that, or its own vote went to such a learner.
    pub fn is_substitute(&self) -> bool {
        !self.voter && (self.added || self.withdrawn)
    }
}

/// All replicas of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identity of the group; zero while no group is known.
    pub group: GroupId,
    /// Replicas by identity.
    pub replicas: BTreeMap<ReplicaId, ReplicaInfo>,
}

/// A change of the voters requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterChange {
    /// Makes a learner a voter.
    Add(DaemonId),
    /// Removes a voter or learner.
    Remove(DaemonId),
    /// Makes a learner a voter and then removes another voter.
    Replace {
        /// Daemon of the voter to remove.
        old: DaemonId,
        /// Daemon of the learner that replaces it.
        new: DaemonId,
    },
}

/// Why a change of voters was refused or its outcome is unknown. Except for `Lost`, the refused
/// step changed nothing; the second step of a replacement, the removal, may be refused after the
/// first one, the new voter, took effect.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ChangeError {
    /// This daemon does not lead.
    #[error("this daemon does not lead the control group; send the change to the leader")]
    NotLeader,
    /// An earlier change is not finished.
    #[error("an earlier change of the replicas is not finished; retry in a second")]
    Busy,
    /// The daemon has no replica of the right kind.
    #[error(
        "daemon `{daemon}` has no {wanted} in the group; start it with an empty data folder and see `dandelionctl control status`"
    )]
    Unknown {
        /// Daemon named in the change.
        daemon: DaemonId,
        /// Kind of replica that is missing: `learner`, `voter` or `replica`.
        wanted: String,
    },
    /// The learner has not caught up.
    #[error("the learner of daemon `{daemon}` is {lag} entries behind; retry when it caught up")]
    Behind {
        /// Daemon named in the change.
        daemon: DaemonId,
        /// Entries it lacks.
        lag: u64,
    },
    /// The remaining voters that answer would not be a quorum.
    #[error(
        "without daemon `{daemon}` too few voters answer for a quorum; bring back or add a voter first"
    )]
    NoQuorum {
        /// Daemon named in the change.
        daemon: DaemonId,
    },
    /// The leader stepped down before the change was committed; it may or may not take effect.
    #[error(
        "the control leader was lost before the change was committed; see `dandelionctl control status` and resend if it is absent"
    )]
    Lost,
}

impl Membership {
    /// Returns whether no group is known yet.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.voter)
            .map(|(id, _)| *id)
    }

    /// Returns whether `id` is a voter of the group.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| r.voter)
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters that satisfy `agrees` are a quorum.
    pub fn has_quorum<F>(&self, agrees: F) -> bool
    where
        F: Fn(ReplicaId) -> bool,
    {
        self.voters().filter(|id| agrees(*id)).count() >= self.quorum()
    }

    /// Returns the greatest value that a quorum of voters has reached.
    pub fn quorum_value<T, F>(&self, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(ReplicaId) -> T,
    {
        let mut values = self.voters().map(value).collect::<Vec<_>>();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the newest voter of `daemon`, or its newest learner if `voter` is false.
    pub fn newest_replica(&self, daemon: &DaemonId, voter: bool) -> Option<ReplicaId> {
        self.replicas
            .iter()
            .filter(|(_, r)| r.daemon == *daemon && r.voter == voter)
            .max_by_key(|(_, r)| r.joined)
            .map(|(id, _)| *id)
    }

    /// Returns a voter whose daemon also has a voter that joined later.
    pub fn outdated_voter(&self) -> Option<ReplicaId> {
        self.voters().find(|id| {
            let old = &self.replicas[id];
            self.newest_replica(&old.daemon, true) != Some(*id)
        })
    }

    /// Returns the membership with a learner added, in place of older learners of the same daemon. A
    /// daemon that returns with an empty folder replaces nobody else.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId, mut learner: ReplicaInfo) -> Self {
        let mut next = self.clone();
        let mut known = next.replicas.values();
        learner.added &= known.all(|r| r.daemon != learner.daemon || r.is_substitute());
        next.replicas
            .retain(|_, r| r.voter || r.daemon != learner.daemon);
        next.replicas.insert(id, learner);
        next
    }

    /// Returns the membership with a learner made a voter.
    #[must_use]
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        if let Some(replica) = next.replicas.get_mut(&id) {
            replica.voter = true;
            replica.added = false;
            replica.withdrawn = false;
        }
        next
    }

    /// Returns the membership with the vote of an unresponsive voter withdrawn. Its replica, or the learner
    /// of its daemon if that is back with an empty folder, may take over the next vote: the group has as
    /// many substitutes as before.
    #[must_use]
    pub fn with_withdrawn(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        let Some(mut replica) = next.replicas.remove(&id) else {
            return next;
        };
        if let Some(learner) = next.newest_replica(&replica.daemon, false) {
            next.replicas.entry(learner).and_modify(|r| r.added = true);
            return next;
        }
        replica.voter = false;
        replica.outgoing = false;
        replica.withdrawn = true;
        next.replicas.insert(id, replica);
        next
    }

    /// Returns the membership with a learner made a voter in the place of `old`, which still votes. It is to
    /// be removed, or made a learner if the two are `exchanged`.
    #[must_use]
    pub fn with_successor(&self, id: ReplicaId, old: ReplicaId, exchanged: bool) -> Self {
        let mut next = self.with_voter(id);
        if let Some(replica) = next.replicas.get_mut(&old) {
            replica.outgoing = true;
            replica.withdrawn = exchanged;
        }
        next
    }

    /// Returns the membership without a replica. The removal of a voter completes or cancels a hand-over in
    /// progress: there is no voter too many any more.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        if next.replicas.remove(&id).is_some_and(|r| r.voter) {
            for replica in next.replicas.values_mut() {
                replica.outgoing = false;
                replica.withdrawn &= !replica.voter;
            }
        }
        next
    }
}
