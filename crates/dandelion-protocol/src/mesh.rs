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
use crate::lives::UpstreamReport;
use crate::outcome::Refusal;
use crate::time::Millis;
use crate::upstream::Announcement;
use crate::usage::Class;
use crate::usage::CounterReport;

/// Version of the mesh protocol.
pub const MESH_VERSION: u16 = 1;

/// First message in each direction on a mesh connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MESH_VERSION`] of the sender.
    pub version: u16,
    /// Cell of the sender.
    pub cell: CellId,
    /// Sender.
    pub daemon: DaemonId,
    /// Sender's zone.
    pub zone: ZoneId,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Address on which the sender accepts mesh connections, as `ip:port`.
    pub address: String,
}

/// A caller's request on its way to the owner of an upstream; the key is not part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Identity of the request.
    pub id: RequestId,
    /// Team, or none on an open route.
    pub team: Option<TeamId>,
    /// Service.
    pub service: ServiceId,
    /// Class.
    pub class: Class,
    /// HTTP method.
    pub method: String,
    /// Path and scrubbed query at the upstream.
    pub path: String,
    /// Allow-listed headers.
    pub headers: Vec<Header>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time left of the caller's deadline.
    pub timeout: Millis,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Part of an answer on its way back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServePart {
    /// Status and headers; exactly one, first.
    Head {
        /// HTTP status.
        status: u16,
        /// Allow-listed headers.
        headers: Vec<Header>,
        /// Upstream that answers.
        upstream: String,
    },
    /// Body bytes.
    Chunk(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The answer is whole: `bytes` body bytes were sent before.
    End {
        /// Body bytes in all.
        bytes: u64,
    },
    /// The answer failed; after a head the connection to the caller is broken visibly.
    Failed(Refusal),
}

/// How far a revision has reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Daemons under a lease that have applied it.
    pub applied: u32,
    /// Daemons under a lease.
    pub total: u32,
    /// Whether no daemon can act on an older revision any more.
    pub complete: bool,
}

/// Body of a call that expects one reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallBody {
    /// Proposes a change to the control leader.
    Propose(Proposal),
    /// Forwards an announcement to the owner.
    Announce(Announcement),
    /// Spreads notes on suspects, encoded as a zone message; `relay` asks to pass them on in the zone.
    Notes {
        /// Notes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Whether the receiver passes them on to its own zone.
        relay: bool,
    },
    /// Asks whether the daemon is alive.
    Probe,
    /// Reports owned upstreams and demand to the control leader.
    Report(Inventory),
    /// Passes an order on to an engine that the receiver owns.
    OrderEngine {
        /// Engine.
        upstream: UpstreamId,
        /// Life that the order is for.
        boot: Incarnation,
        /// Order.
        order: EngineOrder,
    },
    /// Copies usage counters to a daemon of another zone.
    CopyUsage(Vec<CounterReport>),
    /// Asks the control leader how far a revision has reached.
    InForce(Revision),
    /// Keeps, fetches or releases payloads of a rollout job, encoded by the daemon package.
    Payload(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Reads or changes batch jobs at the daemon in charge of them.
    Batch(BatchCall),
    /// Keeps or reads texts of results.
    Texts(TextCall),
    /// Forwards a trainer's or operator's HTTP request to the daemon in charge of it.
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
    /// Reply to `Announce`.
    Announced,
    /// Reply to `Probe`.
    Alive,
    /// Reply to `OrderEngine`: the engine's HTTP status, or none if it gave no whole answer.
    Ordered(Option<u16>),
    /// Reply to `CopyUsage`.
    Copied,
    /// Reply to `Forward`.
    Forwarded {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// Body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Reply to `InForce`; nothing if the daemon does not lead.
    InForce(Option<Spread>),
    /// Reply to `Payload`, encoded by the daemon package.
    Payload(ByteBuf),
    /// Reply to `Batch`.
    Batch(BatchReply),
    /// Reply to `Texts`.
    Texts(TextReply),
    /// The call was refused.
    Refused(Refusal),
}

/// Any message on the mesh.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MeshMessage {
    /// Introduces the sender.
    Hello(Hello),
    /// Heartbeat, answered by `Pong` with the same number.
    Ping(u64),
    /// Answer to `Ping`.
    Pong(u64),
    /// Replication message between control daemons, encoded by the control package.
    Raft(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Configuration feed between a daemon and its feeder, encoded by the control package.
    Feed(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Digests and membership within a zone, encoded by the routing package.
    Digest(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Replication message between daemons that store batch jobs, encoded by the control package.
    StoreRaft(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The sender is in charge of the batch jobs, in this term of the store group.
    JobsLeader(Term),
    /// A report of an upstream, passed on to the daemons that place work.
    Lived(UpstreamReport),
    /// A call; `call` is unique per connection and direction.
    Call {
        /// Call number.
        call: u64,
        /// Body.
        body: CallBody,
    },
    /// The reply to a call.
    Reply {
        /// Call number.
        call: u64,
        /// Body.
        body: ReplyBody,
    },
    /// Opens an answer stream.
    Serve {
        /// Stream number, unique per connection and direction.
        stream: u64,
        /// Request.
        request: ServeRequest,
    },
    /// Part of an answer stream.
    Part {
        /// Stream number.
        stream: u64,
        /// Part.
        part: ServePart,
    },
    /// Cancels an answer stream.
    Cancel {
        /// Stream number.
        stream: u64,
    },
    /// Lets the sender of an answer stream send further body bytes.
    Credit {
        /// Stream number.
        stream: u64,
        /// Body bytes.
        bytes: u32,
    },
}
