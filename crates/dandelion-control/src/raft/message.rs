//! Messages between replicas. Encoded field names are short because heartbeats are frequent.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::raft::membership::Membership;
use crate::raft::types::Entry;
use crate::raft::types::GroupId;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;

/// Any message between the replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// Request of a replica to be added to a group, or to learn whether the others know one.
    #[serde(rename = "j")]
    Join(Join),
    /// Answer to `Join`.
    #[serde(rename = "k")]
    JoinReply(JoinReply),
    /// Replication between members.
    #[serde(rename = "r")]
    Replica(Envelope),
}

/// Identity of a replica, sent while it knows no group or has had no contact with a leader for
/// long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Identity of its data folder.
    pub replica: ReplicaId,
    /// Daemon that runs the replica.
    pub daemon: DaemonId,
    /// Availability zone of that daemon.
    pub zone: ZoneId,
    /// Whether the daemon was started after the cell's first start and the replica has never belonged to
    /// a group. Daemons of earlier releases never say so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub added: bool,
}

/// Answer to a join request: whether the sender knows a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinReply {
    /// `Join::replica` of the request. A replica ignores replies to another identity: those were
    /// meant for an earlier content of its folder.
    pub asker: ReplicaId,
    /// Identity of the replica that replies.
    pub sender: Join,
    /// Whether the sender knows no group either.
    pub empty: bool,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender; zero if it knows none.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Replica that sends the message.
    #[serde(rename = "f")]
    pub from: ReplicaId,
    /// Replica that the message is for; another identity at the same daemon drops it.
    #[serde(rename = "o")]
    pub to: ReplicaId,
    /// Term of the sender; in `PreVote`, the term that it would start.
    #[serde(rename = "t")]
    pub term: Term,
    /// Request or reply.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Content of a replication message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the envelope's term; changes no
    /// state.
    #[serde(rename = "p")]
    PreVote {
        /// Position of the last entry in the candidate's log.
        #[serde(rename = "l")]
        last: Position,
    },
    /// Answer to `PreVote`; the envelope's term is the requested one if granted, otherwise the
    /// voter's own.
    #[serde(rename = "q")]
    PreVoteReply {
        /// Whether the voter would grant its vote.
        #[serde(rename = "y")]
        granted: bool,
    },
    /// Requests a vote in the envelope's term.
    #[serde(rename = "v")]
    Vote {
        /// Position of the last entry in the candidate's log.
        #[serde(rename = "l")]
        last: Position,
        /// Whether the previous leader gave its lease up with `TimeoutNow`; voters then ignore
        /// their promise to it.
        #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
        leader_transfer: bool,
    },
    /// The leader has given its lease up and tells the receiver to start an election immediately.
    #[serde(rename = "h")]
    TimeoutNow,
    /// Answer to `Vote`.
    #[serde(rename = "w")]
    VoteReply {
        /// Whether the vote is granted.
        #[serde(rename = "y")]
        granted: bool,
    },
    /// Entries after `prev`; without entries, a heartbeat.
    #[serde(rename = "a")]
    Append {
        /// Position of the entry before the first one sent.
        #[serde(rename = "l")]
        prev: Position,
        /// Leader's commit index.
        #[serde(rename = "c")]
        commit: u64,
        /// Leader's clock at sending, returned in the reply.
        #[serde(rename = "s")]
        sent: Millis,
        /// Entries to append, without a gap.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<Entry>,
    },
    /// Answer to `Append`.
    #[serde(rename = "r")]
    AppendReply {
        /// Whether the receiver's log matches at `prev`.
        #[serde(rename = "y")]
        accepted: bool,
        /// Last index that matches if accepted, otherwise the last one that may match.
        #[serde(rename = "m")]
        index: u64,
        /// `sent` of the append.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Part of a snapshot, sent to a replica that lacks entries no longer in the leader's log.
    #[serde(rename = "s")]
    Chunk(Chunk),
    /// Answer to `Chunk`.
    #[serde(rename = "u")]
    ChunkReply {
        /// Position of the snapshot.
        at: Position,
        /// Bytes received without a gap.
        offset: u64,
        /// `sent` of the chunk.
        sent: Millis,
    },
}

/// Part of a snapshot; the parts are sent in order of `offset`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the snapshot.
    pub at: Position,
    /// Replicas at that position.
    pub members: Membership,
    /// Offset of `data` in the table image, in bytes.
    pub offset: u64,
    /// Size of the complete table image, in bytes.
    pub total: u64,
    /// Leader's clock at sending, returned in the reply.
    pub sent: Millis,
    /// Bytes of the table image.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}
