//! What operators see of a control daemon.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::node::control::ControlNode;
use crate::raft::ReplicaId;
use crate::raft::Role;
use crate::storage::Storage;

/// A leader's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Term, also the fencing number.
    pub term: Term,
    /// End of the lease on this daemon's boot-time clock.
    pub until: Millis,
}

impl Charge {
    /// Returns whether the lease lasts longer than `margin` from `now`.
    pub fn covers(&self, now: Millis, margin: Millis) -> bool {
        now + margin < self.until
    }
}

/// How far a revision has reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Daemons under a lease that have applied it.
    pub applied: u32,
    /// Daemons under a lease that have not.
    pub pending: u32,
    /// Daemons under a lease.
    pub total: u32,
    /// Whether every feeder has applied it and no lease of an earlier leader can run.
    pub settled: bool,
}

impl InForce {
    /// Returns whether no daemon can act on an older revision any more.
    pub fn is_complete(&self) -> bool {
        self.settled && self.pending == 0
    }
}

/// One replica as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the data folder.
    pub replica: ReplicaId,
    /// Daemon.
    pub daemon: DaemonId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it votes.
    pub voter: bool,
    /// Entries that it lacks; nothing if this daemon does not lead.
    pub lag: Option<u64>,
    /// Whether it answered within the promise time; nothing if this daemon does not lead.
    pub alive: Option<bool>,
}

/// State of a control daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Current term.
    pub term: Term,
    /// What it is doing: `follower`, `candidate` or `leader`.
    pub role: String,
    /// Leader, as far as known.
    pub leader: Option<DaemonId>,
    /// Whether the leader lease runs.
    pub in_charge: bool,
    /// Index up to which entries are committed.
    pub commit: u64,
    /// Revision applied.
    pub applied: Revision,
    /// Last index that a snapshot covers.
    pub snapshot: u64,
    /// Bytes of the log file.
    pub log_bytes: u64,
    /// Daemons that renew with this one.
    pub subscribers: u32,
    /// Replicas of the group.
    pub replicas: Vec<ReplicaStatus>,
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    /// Describes this control daemon.
    pub fn status(&self, now: Millis) -> Status {
        let replica = &self.replica;
        let role = match replica.role() {
            Role::Follower => "follower",
            Role::PreCandidate | Role::Candidate => "candidate",
            Role::Leader => "leader",
        };
        Status {
            term: replica.term(),
            role: role.to_owned(),
            leader: self.leader().cloned(),
            in_charge: self.in_charge(now, Millis::ZERO).is_some(),
            commit: replica.commit(),
            applied: self.revision(),
            snapshot: replica.snapshot().at.index,
            log_bytes: self.storage.log_bytes(),
            subscribers: self.feeding.subscribers.len() as u32,
            replicas: self.replica_statuses(now),
        }
    }

    fn replica_statuses(&self, now: Millis) -> Vec<ReplicaStatus> {
        let leads = self.replica.role() == Role::Leader;
        let replicas = self.replica.membership().replicas.iter();
        let describe = |(id, known): (&ReplicaId, &crate::raft::ReplicaInfo)| ReplicaStatus {
            replica: *id,
            daemon: known.daemon.clone(),
            zone: known.zone.clone(),
            voter: known.voter,
            lag: leads.then(|| self.replica.lag(*id)),
            alive: leads.then(|| self.replica.is_alive(now, *id)),
        };
        replicas.map(describe).collect()
    }
}
