//! Messages between daemons, one CBOR value per WebSocket message.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::batch::BatchCall;
use crate::batch::BatchReply;
use crate::batch::TextCall;
use crate::batch::TextReply;
use crate::control::Answer;
use crate::control::Proposal;
use crate::control::ProposeError;
use crate::detour::Detour;
use crate::detour::DetourEnd;
use crate::fleet::EngineOrder;
use crate::fleet::Inventory;
use crate::ids::CellId;
use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::ids::Term;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::incarnations::IncarnationReport;
use crate::incarnations::SoftwareVersion;
use crate::limits::PermitCall;
use crate::limits::PermitReply;
use crate::outcome::Refusal;
use crate::shared_bytes::SharedBytes;
use crate::streams::OriginCall;
use crate::streams::OriginReply;
use crate::time::Millis;
use crate::upstream::Announcement;
use crate::usage::Class;
use crate::usage::CounterReport;

/// Version of the mesh protocol.
pub const MESH_VERSION: u16 = 1;

/// Longest encoded message, in bytes. Whoever makes a message of a length that others decide checks it
/// before it stores or promises anything: a link drops a longer one.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Longest encoded replication message, in bytes. Entries in the log of an earlier release, which checked
/// only the message with the proposal, can be a little longer than [`MAX_MESSAGE_BYTES`] allows.
pub const MAX_REPLICATION_BYTES: usize = MAX_MESSAGE_BYTES + 64 * 1024;

/// First message in each direction on a mesh connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MESH_VERSION`] of the sender.
    pub version: u16,
    /// Cell of the sender.
    pub cell: CellId,
    /// Name of the sender.
    pub daemon: DaemonId,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Address on which the sender accepts mesh connections, as `ip:port`.
    pub address: String,
}

/// A request that is forwarded to the owner of an upstream; it does not contain the caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Identity of the request, chosen by the daemon that received or created it.
    pub id: RequestId,
    /// Team that is billed; none on an open route.
    pub team: Option<TeamId>,
    /// Service that is to serve it.
    pub service: ServiceId,
    /// Class, which decides its priority.
    pub class: Class,
    /// HTTP method.
    pub method: String,
    /// Path and query at the upstream, without the caller's key.
    pub path: String,
    /// Allow-listed headers.
    pub headers: Vec<Header>,
    /// Body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Remaining time until the caller's deadline.
    pub timeout: Millis,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Version of the software that generated the part which it continues; unknown if it continues
    /// none. Upstreams of that version are preferred.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Set on a caller's request under the route plan, which the receiver forwards in the place of
    /// its entry. A daemon that doesn't know the field owns no upstream of the service and refuses
    /// the request as not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detour: Option<Box<Detour>>,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// One value; a header with several values occurs once for each.
    pub value: String,
}

/// Part of an answer stream, sent by the owner of the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServePart {
    /// Status and headers; exactly one, first.
    Head {
        /// HTTP status.
        status: u16,
        /// Allow-listed headers.
        headers: Vec<Header>,
        /// Name of the upstream that answers.
        upstream: String,
    },
    /// Next bytes of the body.
    Chunk(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The answer is complete.
    End {
        /// Total number of body bytes sent before.
        bytes: u64,
    },
    /// The answer failed. If its head was sent, the connection to the caller is aborted, so that
    /// the caller cannot take the answer for complete.
    Failed(Refusal),
    /// A request with a [`Detour`] got no answer; the only part then.
    Detoured(DetourEnd),
}

impl ServePart {
    /// Returns whether no part follows.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed(_) | Self::Detoured(_))
    }
}

/// How far a revision has propagated to the daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Propagation {
    /// Daemons with a control lease that have applied it.
    pub applied: u32,
    /// Daemons with a control lease.
    pub total: u32,
    /// Whether no daemon can act on an older revision any more.
    pub complete: bool,
}

/// Body of a call, which gets one [`ReplyBody`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallBody {
    /// Proposes a change of the replicated state to the control leader.
    Propose(Proposal),
    /// Forwards an announcement to the owner of the upstream.
    Announce(Announcement),
    /// Distributes notes on requests that may crash upstreams.
    Notes {
        /// Notes, encoded by the routing package as a zone message.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Whether the receiver forwards them to the other daemons of its zone.
        relay: bool,
    },
    /// Checks whether the daemon is alive.
    Probe,
    /// Reports owned upstreams and demand to the control leader.
    Report(Inventory),
    /// Sends an order to an engine that the receiver owns.
    OrderEngine {
        /// Name of the engine.
        upstream: UpstreamId,
        /// Incarnation that the order is for; no other one gets it.
        boot: Incarnation,
        /// Order to send.
        order: EngineOrder,
    },
    /// Copies the sender's usage counters to the receiver, which reports them if the sender is
    /// lost.
    CopyUsage(Vec<CounterReport>),
    /// Requests from the control leader how far a revision has propagated.
    InForce(Revision),
    /// Stores, fetches or releases payloads of a rollout job, encoded by the daemon package.
    Payload(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Reads or changes batch jobs at the leader of the store group.
    Batch(BatchCall),
    /// Stores or reads result bodies and unfinished outputs.
    Texts(TextCall),
    /// Asks the control leader for permits to send to upstreams that name a limit.
    Permits(PermitCall),
    /// Keeps or finds the origin of a caller's stream.
    Origins(OriginCall),
    /// Forwards an HTTP request: a trainer's to the coordinator of its job, an operator's to a
    /// daemon that can answer it.
    Forward {
        /// Path with query.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Request body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyBody {
    /// Reply to `Propose`.
    Proposed(Result<Answer, ProposeError>),
    /// Reply to `Announce`, `Notes` and `Report`.
    Announced,
    /// Reply to `Probe`.
    Alive,
    /// Reply to `OrderEngine`: the engine's HTTP status, or none if it gave no complete answer.
    Ordered(Option<u16>),
    /// Reply to `CopyUsage`.
    Copied,
    /// Reply to `Forward`.
    Forwarded {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// Response body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Reply to `InForce`; none if the daemon is not the control leader.
    InForce(Option<Propagation>),
    /// Reply to `Payload`, encoded by the daemon package.
    Payload(ByteBuf),
    /// Reply to `Batch`.
    Batch(BatchReply),
    /// Reply to `Texts`.
    Texts(TextReply),
    /// Reply to `Permits`.
    Permits(PermitReply),
    /// Reply to `Origins`.
    Origins(OriginReply),
    /// The call was refused.
    Refused(Refusal),
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MeshMessage {
    /// Introduces the sender.
    Hello(Hello),
    /// Heartbeat, answered by `Pong` with the same number.
    Ping(u64),
    /// Answer to `Ping`.
    Pong(u64),
    /// Raft message between control daemons, encoded by the control package.
    Raft(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Message of the feed by which control daemons send replicated state to a daemon, encoded by
    /// the control package.
    Feed(SharedBytes),
    /// Load digest of the sender or of its zone, encoded by the routing package as a zone message.
    Digest(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Raft message between members of the store group, encoded by the control package.
    StoreRaft(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The sender leads the store group, in this term.
    JobsLeader(Term),
    /// A report of an upstream, forwarded to the control leader and the leader of the store group.
    Lived(IncarnationReport),
    /// A call; `call` is unique per connection and direction.
    Call {
        /// Number of the call.
        call: u64,
        /// Request of the call.
        body: CallBody,
    },
    /// The reply to a call.
    Reply {
        /// Number of the call that is answered.
        call: u64,
        /// Result of the call.
        body: ReplyBody,
    },
    /// Opens an answer stream.
    Serve {
        /// Stream number, unique per connection and direction.
        stream: u64,
        /// Request to be answered by the stream.
        request: ServeRequest,
    },
    /// Part of an answer stream.
    Part {
        /// Stream number.
        stream: u64,
        /// Next part of the answer.
        part: ServePart,
    },
    /// Cancels an answer stream.
    Cancel {
        /// Stream number.
        stream: u64,
    },
    /// Allows the sender of an answer stream to send more body bytes.
    Credit {
        /// Stream number.
        stream: u64,
        /// Number of additional body bytes.
        bytes: u32,
    },
}
