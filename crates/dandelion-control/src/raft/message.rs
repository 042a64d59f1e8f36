//! Messages between replicas. Field names are short because heartbeats are periodic.

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

/// Any message between control daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftMessage {
    /// A replica that knows no group introduces itself.
    #[serde(rename = "j")]
    Join(Join),
    /// Answer to `Join`.
    #[serde(rename = "k")]
    JoinReply(JoinReply),
    /// Replication between members.
    #[serde(rename = "r")]
    Replica(Envelope),
}

/// Introduction of a replica that knows no group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Identity of its data folder.
    pub replica: ReplicaId,
    /// Its daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Tells a joining replica whether the sender knows a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinReply {
    /// Identity of the replica that asked; proves that the reply is not older than it.
    pub asker: ReplicaId,
    /// The sender.
    pub sender: Join,
    /// Whether the sender knows no group either.
    pub empty: bool,
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender.
    #[serde(rename = "g")]
    pub group: GroupId,
    /// Sender.
    #[serde(rename = "f")]
    pub from: ReplicaId,
    /// Receiver; another identity at the same daemon drops the message.
    #[serde(rename = "o")]
    pub to: ReplicaId,
    /// Term of the sender.
    #[serde(rename = "t")]
    pub term: Term,
    /// Content.
    #[serde(rename = "b")]
    pub body: Body,
}

/// Content of a replication message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote could be won in the given next term; changes nothing.
    #[serde(rename = "p")]
    PreVote {
        /// End of the candidate's log.
        #[serde(rename = "l")]
        last: Position,
    },
    /// Answer to `PreVote`; the envelope's term is the term asked about if granted.
    #[serde(rename = "q")]
    PreVoteReply {
        /// Whether the vote would be given.
        #[serde(rename = "y")]
        granted: bool,
    },
    /// Asks for a vote.
    #[serde(rename = "v")]
    Vote {
        /// End of the candidate's log.
        #[serde(rename = "l")]
        last: Position,
        /// Whether the leader of the term before has given its lease up.
        #[serde(rename = "h", default, skip_serializing_if = "std::ops::Not::not")]
        handover: bool,
    },
    /// The leader has given its lease up and asks the receiver to lead.
    #[serde(rename = "h")]
    Handover,
    /// Answer to `Vote`.
    #[serde(rename = "w")]
    VoteReply {
        /// Whether the vote is given.
        #[serde(rename = "y")]
        granted: bool,
    },
    /// Entries after `prev`, or a heartbeat.
    #[serde(rename = "a")]
    Append {
        /// Position before the entries.
        #[serde(rename = "l")]
        prev: Position,
        /// Index up to which the leader knows entries committed.
        #[serde(rename = "c")]
        commit: u64,
        /// Leader's clock at sending.
        #[serde(rename = "s")]
        sent: Millis,
        /// Entries.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<Entry>,
    },
    /// Answer to `Append`.
    #[serde(rename = "r")]
    AppendReply {
        /// Whether `prev` was found.
        #[serde(rename = "y")]
        accepted: bool,
        /// Last index that matches if accepted, otherwise where to try next.
        #[serde(rename = "m")]
        index: u64,
        /// `sent` of the append.
        #[serde(rename = "s")]
        sent: Millis,
    },
    /// Part of a snapshot.
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

/// Part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the snapshot.
    pub at: Position,
    /// Replicas at that position.
    pub members: Membership,
    /// Offset of the data.
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// Leader's clock at sending.
    pub sent: Millis,
    /// Data.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}
