//! Status of a control daemon and its leader lease.

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

/// Leader lease of a control daemon. Until it ends, no other daemon can lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderLease {
    /// Term of the leadership, also used as the fencing token.
    pub term: Term,
    /// End of the lease on this daemon's boot-time clock.
    pub until: Millis,
}

impl LeaderLease {
    /// Returns whether the lease lasts longer than `margin` from `now`.
    pub fn covers(&self, now: Millis, margin: Millis) -> bool {
        now + margin < self.until
    }
}

/// Progress of distributing a revision to all daemons, as the leader counts it. Other daemons get
/// the summary [`mesh::Propagation`](dandelion_protocol::mesh::Propagation).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    /// Daemons under a lease that have applied the revision.
    pub applied: u32,
    /// Daemons under a lease that have not applied it yet.
    pub pending: u32,
    /// Daemons under a lease; `applied` plus `pending`.
    pub total: u32,
    /// Whether every feeder has applied it and all leases granted under an earlier leader have
    /// ended.
    pub settled: bool,
}

impl Propagation {
    /// Returns whether no daemon can act on an older revision any more.
    pub fn is_complete(&self) -> bool {
        self.settled && self.pending == 0
    }
}

/// Status of one replica of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the data folder.
    pub replica: ReplicaId,
    /// Daemon that runs the replica.
    pub daemon: DaemonId,
    /// Availability zone of that daemon.
    pub zone: ZoneId,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// Entries that it is not known to have stored; `None` if this daemon does not lead.
    pub lag: Option<u64>,
    /// Whether it replied within the last [`promise`](crate::timing::Timing::promise); `None` if
    /// this daemon does not lead.
    pub alive: Option<bool>,
}

/// Status of a control daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Current term.
    pub term: Term,
    /// Role in the current term: `follower`, `candidate` or `leader`.
    pub role: String,
    /// Daemon that leads the current term, if known.
    pub leader: Option<DaemonId>,
    /// Whether this daemon holds an unexpired leader lease.
    pub in_charge: bool,
    /// Index up to which entries are committed.
    pub commit: u64,
    /// Index of the last entry applied to the tables.
    pub applied: Revision,
    /// Index of the last entry that the snapshot covers.
    pub snapshot: u64,
    /// Size of the log file, in bytes.
    pub log_bytes: u64,
    /// Daemons under a lease of this one as their feeder.
    pub subscribers: u32,
    /// Replicas of the group, ordered by identity.
    pub replicas: Vec<ReplicaStatus>,
}

impl Status {
    /// Returns whether a replica of `daemon` has stored the entries up to `index` and replied lately;
    /// false if this daemon does not lead.
    pub fn has_stored(&self, daemon: &DaemonId, index: u64) -> bool {
        let replicas = self.replicas.iter().filter(|r| r.daemon == *daemon);
        let mut alive = replicas.filter(|r| r.alive == Some(true));
        let stored = |lag: u64| self.commit.saturating_sub(lag) >= index;
        alive.any(|r| r.lag.is_some_and(stored))
    }
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    /// Returns the status at `now`.
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
            in_charge: self.leased_term(now, Millis::ZERO).is_some(),
            commit: replica.commit(),
            applied: self.revision(),
            snapshot: replica.snapshot().at.index,
            log_bytes: self.storage.log_bytes(),
            subscribers: self.feeder_state.subscribers.len() as u32,
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
