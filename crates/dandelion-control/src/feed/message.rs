//! Messages between a daemon and its feeder, and between a feeder and the leader. Encoded field
//! names are short because renewals are frequent.

use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::raft::GroupId;

/// Most counts, and so distinct revisions, in one report.
pub const MAX_COUNTS: usize = 8;

/// Any message between daemons, feeders and the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// Daemon to feeder: renews the lease and acknowledges changes.
    #[serde(rename = "r")]
    Renew(Renew),
    /// Feeder to daemon: grants a lease, with the changes that the daemon lacks.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Feeder to daemon: changes as soon as they are committed; does not extend the lease.
    #[serde(rename = "p")]
    Push(Push),
    /// Feeder to daemon: the lease is refused.
    #[serde(rename = "x")]
    Refuse(Refuse),
    /// Feeder to leader: which revisions the daemons of the feeder have applied.
    #[serde(rename = "u")]
    Report(Report),
    /// Leader to feeder: answer to `Report`, with the feeder's own lease.
    #[serde(rename = "v")]
    ReportReply(ReportReply),
}

/// Request of a daemon for a lease, with the revision that it has applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group whose state the daemon holds; zero if it holds none yet.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Revision that the daemon has applied.
    #[serde(rename = "a")]
    pub applied: Revision,
}

/// Lease granted to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Length of the lease, counted from when the daemon sent the renewal.
    #[serde(rename = "l")]
    pub lease: Millis,
    /// Daemon that leads the control group, as far as the feeder knows.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<DaemonId>,
    /// Changes that the daemon lacks; the lease is valid only once they are applied.
    #[serde(rename = "u")]
    pub update: Update,
}

/// Changes sent to a daemon as soon as the feeder has applied them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Changes since the feeder's last message to the daemon.
    #[serde(rename = "u")]
    pub update: Update,
}

/// Refusal of a renewal; the daemon tries another feeder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Daemon that leads the control group, as far as the feeder knows.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<DaemonId>,
}

/// Changes, or an image, that bring a copy of the distributed tables from one revision to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision after which `changes` has no gap.
    #[serde(rename = "f")]
    pub from: Revision,
    /// Revision of the copy after the update.
    #[serde(rename = "t")]
    pub to: Revision,
    /// Changes that took effect on distributed tables, in order of revision.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<TableChange>,
    /// Image of the distributed tables at `to`, in place of changes that the feeder no longer has.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<SharedBytes>,
}

/// One change that took effect on a distributed table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Revision of the log entry that made the change.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The applied proposal.
    #[serde(rename = "p")]
    pub proposal: Proposal,
}

/// Number of daemons whose applied revision is at least `revision` and below that of the next
/// count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedCount {
    /// Lower bound of the applied revisions counted here.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Number of daemons.
    #[serde(rename = "c")]
    pub daemons: u32,
}

/// Applied revisions of one feeder and its daemons; also asks for the feeder's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the feeder's process, drawn at random when it starts.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// Number of the report, rising within an incarnation.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Revision that the feeder has applied.
    #[serde(rename = "a")]
    pub applied: Revision,
    /// Daemons under an unexpired lease of the feeder, lowest revision first, at most
    /// [`MAX_COUNTS`] entries.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<AppliedCount>,
}

/// Lease of a feeder, within which it grants leases to daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Number of the report that is answered.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Length of the lease, counted from when the feeder sent the report.
    #[serde(rename = "l")]
    pub lease: Millis,
    /// Revision that the feeder must have applied before it uses the lease.
    #[serde(rename = "f")]
    pub floor: Revision,
}
