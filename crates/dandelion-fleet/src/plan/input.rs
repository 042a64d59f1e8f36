//! What the planner knows at one moment.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;

/// Demand and bounds of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// Service.
    pub service: ServiceId,
    /// Regular upstreams wanted at the least in each zone.
    pub floor: u32,
    /// Upstreams wanted at the most in each zone.
    pub ceiling: u32,
    /// Requests that one upstream runs at once.
    pub slots: u32,
    /// Interactive requests running and queued.
    pub interactive: f64,
    /// Rollout requests running and wanted.
    pub rollout: f64,
}

/// Where an upstream stands in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Ordered, not announced yet.
    Starting,
    /// Announced and serving.
    Serving,
    /// Draining, reclaimed or ordered to stop.
    Leaving,
}

/// One upstream, announced or on order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Identity.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Price kind.
    pub price: PriceKind,
    /// Where it stands.
    pub phase: Phase,
    /// Requests running on it.
    pub inflight: u32,
}

/// Everything that one planning round reads.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Services with their demand.
    pub services: &'a [ServiceDemand],
    /// Upstreams of all services.
    pub upstreams: &'a [UpstreamView],
    /// Zones in which upstreams can be ordered and that are within reach.
    pub zones: &'a [ZoneId],
    /// Upstreams that may exist or be starting at once.
    pub max_upstreams: u32,
}
