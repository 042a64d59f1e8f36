//! Events that the owner's queue handles and actions that it returns.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
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

/// A request that needs an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request at this owner.
    pub ticket: Ticket,
    /// Team, or none on an open route.
    pub team: Option<TeamId>,
    /// Interactive or rollout.
    pub class: Class,
    /// Predicted work.
    pub work: Work,
    /// When the caller gives up.
    pub deadline: Millis,
    /// Hash of the request's content, to recognize it when it is sent again.
    pub fingerprint: Fingerprint,
    /// Hash of the prompt's prefix, or none for no cache affinity.
    pub prefix: Option<PrefixHash>,
    /// Whether it can be cancelled and later resumed without loss.
    pub resumable: bool,
    /// Version of the software that generated the part which it continues; unknown if it continues
    /// none.
    pub software: SoftwareVersion,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// A complete answer.
    Clean,
    /// No complete answer, an error of the upstream, or no connection to it.
    Failed,
    /// The upstream refused it as overloaded.
    Congested,
    /// No byte was sent, for a reason other than the upstream.
    NotSent,
    /// The caller disconnected, or a connection without progress was replaced.
    Cancelled,
    /// It was cancelled on [`Action::Preempt`] and arrives again.
    Preempted,
}

/// An input of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueEvent {
    /// A request needs an upstream.
    Arrive(Arrival),
    /// A running request has made progress.
    Progress {
        /// Number of the request.
        ticket: Ticket,
        /// Work done so far.
        work: Work,
    },
    /// A dispatched request ended.
    Finished {
        /// Number of the request.
        ticket: Ticket,
        /// How it ended.
        finish: Finish,
        /// Total work done.
        work: Work,
        /// Time since the dispatch.
        latency: Millis,
    },
    /// An upstream's process has ended: a connection broke and a probe failed. To be handled before
    /// the `Finished` events of the requests that the crash interrupted.
    Crashed {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Incarnation that ended.
        boot: Incarnation,
    },
    /// The caller disconnected.
    Cancel {
        /// Number of the request.
        ticket: Ticket,
    },
    /// A change of the registry.
    Upstream(Change),
    /// A change of an engine's prefix cache.
    Cache(CacheEvent),
    /// Notes on suspects, from this daemon or others.
    Notes(Vec<SuspectNote>),
    /// Time has passed. To be sent about ten times a second or more often.
    Tick,
}

/// An output of the queue, to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the upstream.
    Dispatch {
        /// Number of the request.
        ticket: Ticket,
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Incarnation of the upstream; nothing is sent if it has restarted meanwhile.
        boot: Incarnation,
        /// Whether it runs as an isolated trial.
        alone: bool,
    },
    /// Refuse the request; the queue no longer knows it.
    Refuse {
        /// Number of the request.
        ticket: Ticket,
        /// Answer to the caller.
        refusal: Refusal,
    },
    /// Cancel the request at its upstream, keep what it has generated, report it as
    /// [`Finish::Preempted`] and let it arrive again. The reason is that interactive requests wait,
    /// or that a copy of the request was in flight on an upstream that crashed.
    Preempt {
        /// Number of the request.
        ticket: Ticket,
    },
    /// Cancel the request at its upstream and report it as [`Finish::Cancelled`].
    Abort {
        /// Number of the request.
        ticket: Ticket,
    },
    /// A crash interrupted the request. Its outcome is unknown, and the queue no longer knows it.
    Lost {
        /// Number of the request.
        ticket: Ticket,
    },
    /// An upstream was ejected for a while.
    Ejected {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Why it was ejected.
        reason: EjectReason,
    },
    /// Send the note to the daemons of the zone before carrying out any later action.
    Note(SuspectNote),
    /// Propose to the control group to block the fingerprint.
    Block(Fingerprint),
}
