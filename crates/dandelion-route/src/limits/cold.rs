//! Which upstreams are cold, and what they tolerate.

use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::plan::ColdStart;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

/// Returns whether a report shows its incarnation as cold. `known` is what is known of the same
/// incarnation, if anything.
///
/// A report that says nothing about it changes nothing; a new incarnation is then cold if the service
/// has a cold phase after starts. Of a service that is not in the plan, the report alone decides: the
/// plan may be about to reach this daemon.
pub fn is_cold(
    report: &IncarnationReport,
    known: Option<&UpstreamIncarnation>,
    plan: Option<&RoutePlan>,
) -> bool {
    let service = plan.and_then(|plan| plan.service(&report.life.service));
    let start = match service {
        Some(service) if service.cold.is_none() => return false,
        service => service.and_then(|service| service.cold),
    };
    let begins_cold = |start: ColdStart| start.time > Millis::ZERO;
    match (report.cold_left, known) {
        (Some(left), _) => left > Millis::ZERO,
        (None, Some(known)) => known.cold,
        (None, None) => start.is_some_and(begins_cold),
    }
}

/// Returns the requests that an upstream tolerates while it is cold; none if it is warm.
pub fn cold_rate(upstream: &UpstreamIncarnation, plan: Option<&RoutePlan>) -> Option<RateLimit> {
    let service = plan.filter(|_| upstream.cold)?.service(&upstream.service)?;
    service.cold.map(|cold| cold.rate)
}

/// Returns whether an upstream counts as cold because the evacuation of its zone was cancelled, at
/// `restored`, and its last report was received at `reported`. A report of the same millisecond may
/// have been sent before.
pub fn is_restored_cold(restored: Option<WallMillis>, reported: Option<WallMillis>) -> bool {
    restored.is_some_and(|restored| reported.is_none_or(|reported| reported <= restored))
}
