//! Events and actions of the owner's queue.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::balance::CacheEvent;
use crate::balance::pool::EjectReason;
use crate::poison::SuspectNote;
use crate::registry::Change;
use crate::ticket::Fingerprint;
use crate::ticket::PrefixHash;
use crate::ticket::Ticket;
use crate::ticket::Work;

/// A request that wants an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identity at this owner.
    pub ticket: Ticket,
    /// Team, or none on an open route.
    pub team: Option<TeamId>,
    /// Class.
    pub class: Class,
    /// Predicted work.
    pub work: Work,
    /// When the caller gives up.
    pub deadline: Millis,
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's beginning, if an engine serves it.
    pub prefix: Option<PrefixHash>,
    /// Whether it can be cancelled and resumed without loss.
    pub resumable: bool,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// A whole answer.
    Clean,
    /// No whole answer, an error of the upstream, or no connection to it.
    Failed,
    /// The upstream turned it away as overloaded.
    Congested,
    /// No byte was sent, for a reason other than the upstream.
    NotSent,
    /// The caller left, or a silent connection was replaced.
    Cancelled,
    /// Cancelled on [`Action::Preempt`]; it arrives again.
    Preempted,
}

/// What can happen to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueEvent {
    /// A request wants an upstream.
    Arrive(Arrival),
    /// A running request has come so far.
    Progress {
        /// Request.
        ticket: Ticket,
        /// Work so far.
        work: Work,
    },
    /// A dispatched request ended.
    Finished {
        /// Request.
        ticket: Ticket,
        /// How it ended.
        finish: Finish,
        /// Work in all.
        work: Work,
        /// Time since the dispatch.
        latency: Millis,
    },
    /// An upstream's process is gone, as shown by a failed probe after a broken connection.
    /// It must be fed before the `Finished` events of the requests that it cut.
    Crashed {
        /// Upstream.
        upstream: UpstreamId,
        /// Life that ended.
        boot: Incarnation,
    },
    /// The caller left.
    Cancel {
        /// Request.
        ticket: Ticket,
    },
    /// The registry changed.
    Upstream(Change),
    /// An engine's cache changed.
    Cache(CacheEvent),
    /// Notes of other daemons on suspects.
    Notes(Vec<SuspectNote>),
    /// Time passed; fed about ten times a second.
    Tick,
}

/// What the queue asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the upstream.
    Dispatch {
        /// Request.
        ticket: Ticket,
        /// Upstream.
        upstream: UpstreamId,
        /// Its life; send nothing if it has restarted meanwhile.
        boot: Incarnation,
        /// Whether it runs in isolation.
        alone: bool,
    },
    /// Answer the caller at once; the request is forgotten.
    Refuse {
        /// Request.
        ticket: Ticket,
        /// Answer.
        refusal: Refusal,
    },
    /// In favour of interactive work, or as a copy of it was in flight at a crash: cancel the
    /// request at its upstream, keep what it has generated, report it as
    /// [`Finish::Preempted`] and let it arrive again.
    Preempt {
        /// Request.
        ticket: Ticket,
    },
    /// Cancel the request at its upstream and report it as [`Finish::Cancelled`].
    Abort {
        /// Request.
        ticket: Ticket,
    },
    /// The request was cut by a crash; its outcome is unknown and it is forgotten.
    Lost {
        /// Request.
        ticket: Ticket,
    },
    /// An upstream left the rotation for a while.
    Ejected {
        /// Upstream.
        upstream: UpstreamId,
        /// Why.
        reason: EjectReason,
    },
    /// Send the note to the daemons of the zone before any later action is carried out.
    Note(SuspectNote),
    /// Propose a block of the fingerprint to the control group.
    Block(Fingerprint),
}
