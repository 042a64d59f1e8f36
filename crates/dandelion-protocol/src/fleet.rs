//! Orders to the platform and to engines, and the reports from which they are planned.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::ids::Term;
use crate::ids::UpstreamId;
use crate::ids::WeightVersion;
use crate::ids::ZoneId;
use crate::upstream::PriceKind;

/// Operation that the platform is to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderBody {
    /// Start one upstream of `service`.
    Start {
        /// Service that it is to run.
        service: ServiceId,
        /// Availability zone to start it in.
        zone: ZoneId,
        /// Price at which it is to run.
        price: PriceKind,
    },
    /// Stop one upstream gracefully.
    Stop {
        /// The upstream to stop; it has been drained.
        upstream: UpstreamId,
    },
}

/// Operation on an engine's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightOrder {
    /// Fetch a version in the background; the engine answers when it has the version.
    FetchVersion,
    /// Load a version and generate with it from then on.
    LoadVersion,
}

/// An order to an engine, posted to its `/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Operation to carry out.
    pub kind: WeightOrder,
    /// Weight version to fetch or load.
    pub version: WeightVersion,
    /// Fencing number: the issuer's leadership term.
    pub term: Term,
    /// Engine to fetch from; none for the weight store.
    pub source: Option<UpstreamId>,
}

/// An upstream as its owner reports it to the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream.
    pub boot: Incarnation,
    /// Service that it serves.
    pub service: ServiceId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Price at which it runs.
    pub price: PriceKind,
    /// Requests that it can run concurrently.
    pub capacity: u32,
    /// Requests that its owner has in flight there.
    pub inflight: u32,
    /// Weight version that it last announced, if any.
    pub version: Option<WeightVersion>,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

/// Demand for a service as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Service that is in demand.
    pub service: ServiceId,
    /// Interactive requests that run or wait at the daemon.
    pub interactive: u32,
    /// Samples in a training step of the jobs that the daemon coordinates.
    pub rollout: u32,
}

/// Periodic report of a daemon to the control leader, from which the fleet is planned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Upstreams that the daemon owns and that are announced.
    pub upstreams: Vec<UpstreamReport>,
    /// Demand, one entry per service.
    pub demand: Vec<DemandReport>,
}

/// An order to the platform; idempotent by `id`, fenced by `term`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity, the same in every resend.
    pub id: RequestId,
    /// Fencing number: the issuer's leadership term.
    pub term: Term,
    /// Operation to carry out.
    pub body: OrderBody,
}
