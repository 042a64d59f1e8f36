//! Messages between a daemon and its feeder, and between a feeder and the leader. Field names are
//! short because renewals are periodic.

use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::raft::GroupId;

/// Most distinct revisions in one report.
pub const MAX_COUNTS: usize = 8;

/// Any message of the feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// Daemon to feeder: renewal and acknowledgement.
    #[serde(rename = "r")]
    Renew(Renew),
    /// Feeder to daemon: lease and changes.
    #[serde(rename = "g")]
    Grant(Grant),
    /// Feeder to daemon: changes as soon as they are committed, without a lease.
    #[serde(rename = "p")]
    Push(Push),
    /// Feeder to daemon: no lease can be given.
    #[serde(rename = "x")]
    Refuse(Refuse),
    /// Feeder to leader: what its daemons have applied.
    #[serde(rename = "u")]
    Report(Report),
    /// Leader to feeder: the feeder's own lease.
    #[serde(rename = "v")]
    Licence(Licence),
}

/// A daemon asks for a lease and says what it has applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group that the daemon follows, or zero.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Revision applied.
    #[serde(rename = "a")]
    pub applied: Revision,
}

/// A feeder gives a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Length of the lease from the sending of the renewal.
    #[serde(rename = "l")]
    pub lease: Millis,
    /// Control leader.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<DaemonId>,
    /// What the daemon lacks; the lease holds only together with it.
    #[serde(rename = "u")]
    pub update: Update,
}

/// A feeder passes changes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// The changes.
    #[serde(rename = "u")]
    pub update: Update,
}

/// A feeder can't give a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refuse {
    /// Number of the renewal.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Control leader, as far as the feeder knows.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<DaemonId>,
}

/// What leads from one revision to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Revision from which the changes are complete.
    #[serde(rename = "f")]
    pub from: Revision,
    /// Revision after the changes.
    #[serde(rename = "t")]
    pub to: Revision,
    /// Changes that took effect on spread tables.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<SpreadChange>,
    /// Image of the spread tables at `to`, in place of changes.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub image: Option<ByteBuf>,
}

/// One change that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadChange {
    /// Revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// The change.
    #[serde(rename = "p")]
    pub proposal: Proposal,
}

/// How many daemons have applied at least a revision, and less than the next one listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedCount {
    /// Revision.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Daemons.
    #[serde(rename = "c")]
    pub daemons: u32,
}

/// What the daemons of one feeder have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Life of the feeder's process, drawn at random.
    #[serde(rename = "l")]
    pub life: u64,
    /// Number of the report, rising within a life.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Revision that the feeder has applied.
    #[serde(rename = "a")]
    pub applied: Revision,
    /// Daemons under an unexpired lease, at most [`MAX_COUNTS`] entries, lowest revision first.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub counts: Vec<AppliedCount>,
}

/// A feeder's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Licence {
    /// Number of the report.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Group.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Length of the lease from the sending of the report.
    #[serde(rename = "l")]
    pub lease: Millis,
    /// Revision that the feeder must have applied to use the lease.
    #[serde(rename = "f")]
    pub floor: Revision,
}
