//! Which upstreams are cold, and what they tolerate.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::plan::ColdStart;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::Millis;

/// Returns whether a report shows its incarnation as cold. `known` tells whether the same incarnation is
/// known as cold; none if it is new.
///
/// A report that says nothing about it changes nothing; a new incarnation is then cold if the service
/// has a cold phase after starts. Of a service that is not in the plan, the report alone decides: the
/// plan may be about to reach this daemon.
pub fn is_cold(report: &IncarnationReport, known: Option<bool>, plan: Option<&RoutePlan>) -> bool {
    let service = plan.and_then(|plan| plan.service(&report.life.service));
    let start = match service {
        Some(service) if service.cold.is_none() => return false,
        service => service.and_then(|service| service.cold),
    };
    let begins_cold = |start: ColdStart| start.time > Millis::ZERO;
    match (report.cold_left, known) {
        (Some(left), _) => left > Millis::ZERO,
        (None, Some(known)) => known,
        (None, None) => start.is_some_and(begins_cold),
    }
}

/// Returns the requests that a cold upstream of a service tolerates; none if the service has no cold
/// phase.
pub fn cold_rate(service: &ServiceId, plan: Option<&RoutePlan>) -> Option<RateLimit> {
    let service = plan?.service(service)?;
    service.cold.map(|cold| cold.rate)
}
