//! Proposals to the replicated tables and their answers.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config::Member;
use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::time::WallMillis;

/// A change proposed to one replicated table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Identity, kept over resends; the same identity never takes effect twice.
    pub id: RequestId,
    /// Who proposes: an operator's name or a daemon's.
    pub author: String,
    /// Time stamped by the leader, used for records and expiry.
    pub at: WallMillis,
    /// Revision of the table that the author saw; the change is refused if the table moved on.
    pub expected: Option<Revision>,
    /// Name of the table.
    pub table: String,
    /// The table's typed command as CBOR.
    #[serde(with = "serde_bytes")]
    pub command: Vec<u8>,
}

/// Why a proposal took no effect. All variants are deterministic results of the log.
///
/// It has no inner tag: serde reads a tagged enum through a buffer that holds no 128-bit numbers,
/// and so no request id.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The table moved on since the author read it.
    #[error(
        "the state is at revision {revision}, not the expected one: `{winner}` changed it by request {request}; read it again and resend with a new request id"
    )]
    Conflict {
        /// Revision now in force.
        revision: Revision,
        /// Author of the change that won.
        winner: String,
        /// Request that won.
        request: RequestId,
    },
    /// Another change was already made under this request id.
    #[error(
        "request id {request} already names another change by `{winner}` at revision {revision}; choose a new request id"
    )]
    IdReused {
        /// The reused identity.
        request: RequestId,
        /// Author of the first change.
        winner: String,
        /// Revision of the first change.
        revision: Revision,
    },
    /// The change is not valid in the present state.
    #[error("{field}: {reason}; {remedy}")]
    Invalid {
        /// Offending field.
        field: String,
        /// What is wrong.
        reason: String,
        /// What to do.
        remedy: String,
    },
    /// The named record does not exist.
    #[error("{what} does not exist; list what exists and correct the name")]
    NotFound {
        /// Kind and name of the record.
        what: String,
    },
    /// No such table, or its command does not decode.
    #[error("table `{table}` cannot read the command ({reason}); upgrade the older daemons")]
    Unreadable {
        /// Table name.
        table: String,
        /// Decoder's message.
        reason: String,
    },
}

impl Rejection {
    /// Makes an `Invalid` rejection.
    pub fn invalid(field: &str, reason: &str, remedy: &str) -> Self {
        Self::Invalid {
            field: field.to_owned(),
            reason: reason.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

/// Result of applying a proposal; kept so that a resend gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Revision at which the proposal was applied or refused.
    pub revision: Revision,
    /// The table's typed reply as CBOR, or why it took no effect.
    pub result: Result<serde_bytes::ByteBuf, Rejection>,
}

/// Why no answer to a proposal can be given now.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ProposeError {
    /// The proposal was not appended anywhere.
    #[error("no control leader is reachable; nothing was changed, retry with the same request id")]
    NoLeader,
    /// Too many proposals wait; this one was not appended anywhere.
    #[error(
        "too many changes wait for the control leader; nothing was changed, retry in a second with the same request id"
    )]
    Overloaded,
    /// It may or may not take effect.
    #[error("the control leader was lost before it answered; resend with the same request id")]
    Unknown,
}

/// Name of the replicated table of daemons.
pub const MEMBERS_TABLE: &str = "members";

/// A change of the table of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberCommand {
    /// Adds a daemon, or a later life or a changed address of it. A lower incarnation is refused.
    Join(Member),
    /// Removes one life of a daemon; a later life stays.
    Leave {
        /// Daemon.
        id: DaemonId,
        /// Life that leaves.
        incarnation: Incarnation,
    },
}
