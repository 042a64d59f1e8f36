//! Proposals to the replicated tables and their answers.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config::Member;
use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::mesh::MAX_MESSAGE_BYTES;
use crate::time::WallMillis;

/// Longest encoded command of a proposal, in bytes. The rest of a message is for the other fields of the
/// proposal, for the log entry with it, and for the replication message with that entry.
pub const MAX_COMMAND_BYTES: usize = MAX_MESSAGE_BYTES - 8 * 1024;

/// A change proposed to one replicated table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Identity, the same in every resend. A table that deduplicates proposals applies it at most
    /// once.
    pub id: RequestId,
    /// Name of the operator or daemon that proposes the change.
    pub author: String,
    /// Time set by the leader, used for records and expiry.
    pub at: WallMillis,
    /// Revision at which the table was last changed, as far as the author knows, or 0 if it never
    /// was; the proposal is rejected if it was changed since. None for no such check.
    pub expected: Option<Revision>,
    /// Name of the table to change.
    pub table: String,
    /// Command of the table, encoded as CBOR.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
}

/// Why a proposal was rejected. Every replica that applies the log rejects it for the same reason.
///
/// The enum is not internally tagged: serde reads such enums through a buffer that cannot hold
/// 128-bit numbers, and so no request ids.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The table was changed since the author read it.
    #[error(
        "the state is at revision {revision}, not the expected one: `{winner}` changed it by request {request}; read it again and resend with a new request id"
    )]
    Conflict {
        /// Revision at which the table was last changed.
        revision: Revision,
        /// Author of that change; `nobody` if the table was never changed.
        winner: String,
        /// Request id of that change.
        request: RequestId,
    },
    /// The request id was already used for another change.
    #[error(
        "request id {request} already names another change by `{winner}` at revision {revision}; choose a new request id"
    )]
    IdReused {
        /// The reused request id.
        request: RequestId,
        /// Author of the first change.
        winner: String,
        /// Revision of the first change.
        revision: Revision,
    },
    /// The change is not valid in the current state.
    #[error("{field}: {reason}; {remedy}")]
    Invalid {
        /// Offending field.
        field: String,
        /// What is wrong with it.
        reason: String,
        /// What the author can do.
        remedy: String,
    },
    /// The named record does not exist.
    #[error("{what} does not exist; list what exists and correct the name")]
    NotFound {
        /// Kind and name of the record.
        what: String,
    },
    /// This version of the daemon lacks the table or cannot decode its command.
    #[error("table `{table}` cannot read the command ({reason}); upgrade the older daemons")]
    Unreadable {
        /// Name of the table.
        table: String,
        /// Message of the decoder.
        reason: String,
    },
}

impl Rejection {
    /// Creates an `Invalid` rejection.
    pub fn invalid(field: &str, reason: &str, remedy: &str) -> Self {
        Self::Invalid {
            field: field.to_owned(),
            reason: reason.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

/// Outcome of a committed proposal. Tables that deduplicate proposals retain it, so that a resend
/// gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Revision at which the proposal was applied or rejected.
    pub revision: Revision,
    /// Reply of the table, encoded as CBOR, or why the proposal was rejected.
    pub result: Result<serde_bytes::ByteBuf, Rejection>,
}

/// Why a proposal got no answer.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ProposeError {
    /// No leader is reachable; the proposal was not appended to any log.
    #[error("no control leader is reachable; nothing was changed, retry with the same request id")]
    NoLeader,
    /// Too many proposals are waiting; this one was not appended to any log.
    #[error(
        "too many changes wait for the control leader; nothing was changed, retry in a second with the same request id"
    )]
    Overloaded,
    /// The leader was lost; the proposal may or may not take effect.
    #[error("the control leader was lost before it answered; resend with the same request id")]
    Unknown,
    /// The proposal is longer than a log entry may be; it was not appended to any log. Daemons of earlier
    /// releases can't decode this, so it is not sent to other daemons.
    #[error("the change has {length} bytes, too many to replicate; nothing was changed, split it")]
    TooLong {
        /// Length of what was proposed, in bytes.
        length: usize,
    },
}

/// Name of the replicated table of daemons.
pub const MEMBERS_TABLE: &str = "members";

/// A change of the table of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCommand {
    /// Adds a daemon, or replaces its record. Rejected if a later incarnation is known.
    Join(Member),
    /// Removes a daemon; rejected if a later incarnation has joined.
    Leave {
        /// Name of the daemon.
        id: DaemonId,
        /// Incarnation that leaves.
        incarnation: Incarnation,
    },
}
