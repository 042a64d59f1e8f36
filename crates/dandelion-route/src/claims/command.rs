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

/// One attempt to run a request. The process that would write the request's first byte makes it
/// for that one write and never uses it again, so a grant may be repeated to it without harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon.
    pub daemon: DaemonId,
    /// Life of the daemon.
    pub incarnation: Incarnation,
    /// Counts the attempts of that life.
    pub sequence: u64,
}

/// What a claim is about. Ids are scoped by team, so no caller meets another team's answers.
///
/// The order begins with the caller's id and so with its time of creation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Caller's id.
    pub caller: CallerId,
    /// Home cell.
    pub cell: CellId,
    /// Team.
    pub team: TeamId,
    /// Service.
    pub service: ServiceId,
}

/// Asks for the right to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of method, path and body.
    pub digest: u128,
    /// Attempt that wants to run it.
    pub attempt: AttemptId,
    /// Time after which the attempt has ended one way or the other.
    pub timeout: Millis,
}

/// A whole answer as kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Allow-listed headers.
    pub headers: Vec<Header>,
    /// Body.
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
    /// No byte was sent and none will be; the id may be claimed again.
    NotRun,
}

/// One step of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStep {
    /// Claims an id.
    Claim(Claim),
    /// Records the end of a granted attempt.
    Settle {
        /// What was claimed.
        key: ClaimKey,
        /// Attempt that was granted.
        attempt: AttemptId,
        /// How it ended.
        result: ClaimResult,
    },
}

/// Steps committed by one log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Steps, applied in order.
    pub steps: Vec<ClaimStep>,
}

/// Reply to one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// Run it, once.
    Granted,
    /// Another attempt is running it.
    Running {
        /// When that attempt will have ended.
        until: WallMillis,
    },
    /// It ran; this is its answer.
    Answered(StoredAnswer),
    /// It ran and answered with this status; the body was too large to keep.
    NotKept {
        /// HTTP status.
        status: u16,
    },
    /// It may have run.
    Unknown,
    /// The id names another request.
    Conflict,
    /// The id is older than the retention.
    Expired {
        /// Oldest creation time now accepted.
        oldest: WallMillis,
    },
    /// The id's creation time lies too far ahead.
    TooNew,
    /// The table or the team's part of it is full.
    Full {
        /// When a place becomes free.
        free_at: WallMillis,
    },
    /// A settlement was recorded.
    Settled,
    /// A settlement or claim of an ended attempt changed nothing.
    Ignored,
}

/// Replies to a batch, in the order of its steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReplies {
    /// Replies.
    pub replies: Vec<ClaimReply>,
}

/// Digests what a claimed request asks for.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
