//! Input of one planning round.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;

/// Demand and bounds of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDemand {
    /// Service that the demand is for.
    pub service: ServiceId,
    /// Minimum number of regular upstreams in each zone.
    pub floor: u32,
    /// Maximum number of upstreams of both price kinds in each zone.
    pub ceiling: u32,
    /// Requests that one upstream runs at once.
    pub slots: u32,
    /// Interactive requests running and queued, over all daemons.
    pub interactive: f64,
    /// Rollout requests running and requested, over all daemons.
    pub rollout: f64,
}

/// Lifecycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Ordered, but not announced yet.
    Starting,
    /// Announced and accepting requests.
    Serving,
    /// Draining, reclaimed or ordered to stop.
    Leaving,
}

/// One upstream, announced or on order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Name that it announces itself under, also before it does.
    pub upstream: UpstreamId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Availability zone that it runs in or is ordered for.
    pub zone: ZoneId,
    /// Whether it costs the regular price, or is cheaper and can be reclaimed.
    pub price: PriceKind,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Requests running on it; 0 before it is announced.
    pub inflight: u32,
}

/// Everything that one planning round reads.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Demand of each service; earlier services are planned first.
    pub services: &'a [ServiceDemand],
    /// Announced and ordered upstreams of all services.
    pub upstreams: &'a [UpstreamView],
    /// Reachable zones in which upstreams can be ordered.
    pub zones: &'a [ZoneId],
    /// Limit of upstreams of all services, whatever their phase.
    pub max_upstreams: u32,
}
