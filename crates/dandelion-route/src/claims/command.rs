//! Commands and replies of the claims table.

use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::claims::caller_id::CallerId;

/// One attempt to run a request.
///
/// The process that is to write the request's first byte creates it for this one write and never
/// uses it again, so it is safe to repeat a grant to the same attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon that makes the attempt.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the attempt, unique within the incarnation.
    pub sequence: u64,
}

/// Key of a claim. It includes the team, so that no caller gets the answer to another team's
/// request.
///
/// The caller's id comes first, so that keys are ordered by the creation time of the id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Id that the caller sent with the request.
    pub caller: CallerId,
    /// Cell that records the claim.
    pub cell: CellId,
    /// Team of the caller's key.
    pub team: TeamId,
    /// Service that the request is for.
    pub service: ServiceId,
}

/// Requests the right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the request.
    pub key: ClaimKey,
    /// [`request_digest`] of the request; a different one under the same key is a conflict.
    pub digest: u128,
    /// Attempt that is to run it.
    pub attempt: AttemptId,
    /// Time from the grant after which the attempt has ended in any case.
    pub timeout: Millis,
}

/// A complete answer, stored to answer resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that may reach the caller.
    pub headers: Vec<Header>,
    /// Complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How a granted attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimResult {
    /// It ran and answered.
    Answered(StoredAnswer),
    /// It may have run.
    Unknown,
    /// No byte was sent and none will be; the id can be claimed again.
    NotRun,
}

/// One operation of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStep {
    /// Claims an id.
    Claim(Claim),
    /// Records the end of a granted attempt.
    Settle {
        /// Key of the request.
        key: ClaimKey,
        /// Attempt that was granted.
        attempt: AttemptId,
        /// How the attempt ended.
        result: ClaimResult,
    },
}

/// Steps that are committed in one log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Steps, applied in order.
    pub steps: Vec<ClaimStep>,
}

/// Reply to one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The attempt may run the request, once.
    Granted,
    /// Another attempt may be running it.
    Running {
        /// When that attempt will have ended.
        until: WallMillis,
    },
    /// It ran; this is the stored answer.
    Answered(StoredAnswer),
    /// It ran, but its answer was too large to store; only the status is known.
    NotKept {
        /// HTTP status.
        status: u16,
    },
    /// It may have run.
    Unknown,
    /// The id was used for a request with a different digest.
    Conflict,
    /// The id is older than the retention.
    Expired {
        /// Oldest creation time now accepted.
        oldest: WallMillis,
    },
    /// The id's creation time is too far in the future.
    TooNew,
    /// The table, or the team's share of it, is full.
    Full {
        /// When the oldest record expires.
        free_at: WallMillis,
    },
    /// The end of the attempt was recorded.
    Settled,
    /// Nothing was changed: the attempt does not hold the claim, or has ended.
    Ignored,
}

/// Replies to a batch, in the order of its steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReplies {
    /// One reply for each step.
    pub replies: Vec<ClaimReply>,
}

/// Hashes method, path and body of a request, each with its length.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
