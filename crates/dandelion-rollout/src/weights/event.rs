//! Events and actions of the swap planner.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;

/// Weights of one job in one version: a model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Artifact {
    /// Job whose trainer published it.
    pub job: JobId,
    /// Version.
    pub version: WeightVersion,
}

/// Where an engine fetches weights from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightSource {
    /// The rate-limited store; a permit is held until the fetch ends.
    Store,
    /// Another engine that has fetched them.
    Peer(UpstreamId),
}

/// An event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapEvent {
    /// A trainer published weights; `engines` are those that serve the job.
    Published {
        /// Weights.
        artifact: Artifact,
    },
    /// An engine announced itself; versions are those that it reports as loaded.
    Seen {
        /// Engine.
        upstream: UpstreamId,
        /// Zone.
        zone: ZoneId,
        /// Life.
        boot: Incarnation,
        /// Loaded weights of each job that it serves.
        loaded: Vec<Artifact>,
    },
    /// An engine is gone or leaving.
    Gone {
        /// Engine.
        upstream: UpstreamId,
    },
    /// A fetch ended.
    Fetched {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
        /// Whether the engine has them.
        done: bool,
    },
    /// An engine answered that it swapped. It serves again, so the next one may swap, but the
    /// version is believed only from `Seen`.
    SwapAnswered {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
    },
    /// A swap order was refused or failed. That a swap succeeded is believed only from `Seen`.
    SwapFailed {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
    },
    /// Time passed.
    Tick,
}

/// An action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapAction {
    /// Orders an engine to fetch weights in the background; the order's deadline is the fetch
    /// timeout, after which the planner gives its permit or slot to another engine.
    Fetch {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
        /// Source.
        source: WeightSource,
    },
    /// Orders an engine to put fetched weights into service; the order's deadline is the swap
    /// timeout.
    Swap {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
    },
    /// Keeps rollouts off an engine that cannot load the weights.
    SetAside {
        /// Engine.
        upstream: UpstreamId,
        /// Weights.
        artifact: Artifact,
    },
    /// Ends `SetAside`.
    PutBack {
        /// Engine.
        upstream: UpstreamId,
    },
}
