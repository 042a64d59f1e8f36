//! Orders to the platform.

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

/// What the platform is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderBody {
    /// Start one upstream of `service`.
    Start {
        /// Service to run.
        service: ServiceId,
        /// Availability zone.
        zone: ZoneId,
        /// Price kind.
        price: PriceKind,
    },
    /// Stop one upstream gracefully.
    Stop {
        /// The upstream to stop; it has been drained.
        upstream: UpstreamId,
    },
}

/// What an engine is ordered to do with weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightOrder {
    /// Fetch a version in the background; answered once it is there.
    FetchVersion,
    /// Put a version into service.
    LoadVersion,
}

/// An order to an engine, posted to its `/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// What to do.
    pub kind: WeightOrder,
    /// Version.
    pub version: WeightVersion,
    /// Fencing number: the issuer's leadership term.
    pub term: Term,
    /// Engine to fetch from, or none for the weight store.
    pub source: Option<UpstreamId>,
}

/// An upstream as its owner reports it to the control leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Its life.
    pub boot: Incarnation,
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Price kind.
    pub price: PriceKind,
    /// Requests that it can run at once.
    pub capacity: u32,
    /// Requests running from its owner.
    pub inflight: u32,
    /// Weight version that it reports.
    pub version: Option<WeightVersion>,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// Demand for a service as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Service.
    pub service: ServiceId,
    /// Interactive requests running and waiting.
    pub interactive: u32,
    /// Rollout requests running and wanted.
    pub rollout: u32,
}

/// What a daemon tells the control leader for planning.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Owned upstreams.
    pub upstreams: Vec<UpstreamReport>,
    /// Demand by service.
    pub demand: Vec<DemandReport>,
}

/// One order; idempotent by `id`, fenced by `term`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity, kept over resends.
    pub id: RequestId,
    /// Fencing number: the issuer's leadership term.
    pub term: Term,
    /// What to do.
    pub body: OrderBody,
}
