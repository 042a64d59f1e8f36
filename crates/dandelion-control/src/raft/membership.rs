//! The replicas of a group and how they change.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::raft::types::GroupId;
use crate::raft::types::ReplicaId;

/// Most replicas of one group, learners included.
pub const MAX_REPLICAS: usize = 64;

/// One replica of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replicator {
    /// Daemon that holds the data folder.
    pub daemon: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Whether it votes; otherwise it learns.
    pub voter: bool,
    /// Log index at which it was added.
    pub joined: u64,
}

/// All replicas of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Identity of the group.
    pub group: GroupId,
    /// Replicas by identity.
    pub replicas: BTreeMap<ReplicaId, Replicator>,
}

/// A change asked for by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoterChange {
    /// Makes a learner a voter.
    Add(DaemonId),
    /// Removes a voter or learner.
    Remove(DaemonId),
    /// Makes a learner a voter and then removes another voter.
    Replace {
        /// Voter that goes.
        old: DaemonId,
        /// Learner that takes its place.
        new: DaemonId,
    },
}

/// Why a change of replicas was refused; nothing was changed.
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
        /// Kind of replica that was looked for.
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
    /// The group would be left without a working quorum.
    #[error(
        "without daemon `{daemon}` too few voters answer for a quorum; bring back or add a voter first"
    )]
    NoQuorum {
        /// Daemon named in the change.
        daemon: DaemonId,
    },
    /// The leader was lost before the change was committed.
    #[error(
        "the control leader was lost before the change was committed; see `dandelionctl control status` and resend if it is absent"
    )]
    Lost,
}

impl Membership {
    /// Returns whether the group is not known yet.
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

    /// Returns whether `id` votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| r.voter)
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `agrees` holds make a quorum.
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

    /// Returns the newest replica of `daemon` that votes, or learns, as `voter` says.
    pub fn newest(&self, daemon: &DaemonId, voter: bool) -> Option<ReplicaId> {
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
            self.newest(&old.daemon, true) != Some(*id)
        })
    }

    /// Adds a learner in place of older learners of the same daemon.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId, learner: Replicator) -> Self {
        let mut next = self.clone();
        next.replicas
            .retain(|_, r| r.voter || r.daemon != learner.daemon);
        next.replicas.insert(id, learner);
        next
    }

    /// Makes a learner a voter.
    #[must_use]
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        if let Some(replica) = next.replicas.get_mut(&id) {
            replica.voter = true;
        }
        next
    }

    /// Leaves a replica out.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        next.replicas.remove(&id);
        next
    }
}
