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
    /// Version under which the trainer published it.
    pub version: WeightVersion,
}

/// Where an engine fetches weights from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightSource {
    /// The rate-limited weight store; a permit is held until the fetch ends.
    Store,
    /// Another engine that has loaded or fetched them.
    Peer(UpstreamId),
}

/// An event for a [`crate::weights::SwapPlanner`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapEvent {
    /// A trainer published weights; a version that is not newer changes nothing.
    Published {
        /// Published weights.
        artifact: Artifact,
    },
    /// An engine reported its state.
    Reported {
        /// Engine that reports.
        upstream: UpstreamId,
        /// Zone in which it runs.
        zone: ZoneId,
        /// Its incarnation; a report of an earlier one is ignored.
        boot: Incarnation,
        /// Weights that it reports as loaded, for each job that it serves.
        loaded: Vec<Artifact>,
    },
    /// An engine is gone or leaving.
    Gone {
        /// Engine to remove.
        upstream: UpstreamId,
    },
    /// A fetch ended.
    Fetched {
        /// Engine that fetched.
        upstream: UpstreamId,
        /// Weights that it was to fetch.
        artifact: Artifact,
        /// Whether the engine has the weights.
        done: bool,
    },
    /// An engine answered that it swapped. It serves again, so the next one may swap, but only
    /// `Reported` confirms the version.
    SwapAnswered {
        /// Engine that answered.
        upstream: UpstreamId,
        /// Weights that it was to load.
        artifact: Artifact,
    },
    /// A swap order was refused or failed.
    SwapFailed {
        /// Engine that received the order.
        upstream: UpstreamId,
        /// Weights that it was to load.
        artifact: Artifact,
    },
    /// Time has passed; timeouts and delays are checked.
    Tick,
}

/// An action for the planner's daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapAction {
    /// Orders an engine to fetch weights in the background; the order's deadline is the fetch
    /// timeout, after which the planner gives its permit or slot to another engine.
    Fetch {
        /// Engine that receives the order.
        upstream: UpstreamId,
        /// Weights to fetch.
        artifact: Artifact,
        /// Store or peer from which it fetches.
        source: WeightSource,
    },
    /// Orders an engine to put fetched weights into service; the order's deadline is the swap
    /// timeout.
    Swap {
        /// Engine that receives the order.
        upstream: UpstreamId,
        /// Fetched weights to load.
        artifact: Artifact,
    },
    /// Quarantines an engine that repeatedly failed to fetch or load weights: it is to get no
    /// rollouts.
    Quarantine {
        /// Engine to quarantine.
        upstream: UpstreamId,
        /// Weights that it failed to fetch or load.
        artifact: Artifact,
    },
    /// Ends `Quarantine`: the engine reports the newest weights of all its jobs.
    Readmit {
        /// Engine that leaves quarantine.
        upstream: UpstreamId,
    },
}
