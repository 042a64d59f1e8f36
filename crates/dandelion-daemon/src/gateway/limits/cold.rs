//! Cold upstreams, as the newest view has them.

use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::ColdLimit;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::time::WallMillis;
use dandelion_route::limits::cold_rate;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::View;
use crate::core::Handle;

/// Returns the requests that an incarnation tolerates while it is cold; none if it is warm or unknown.
pub(super) fn rate_of(view: &View, id: &UpstreamId, born: WallMillis) -> Option<RateLimit> {
    if !view.is_cold(id, born) {
        return None;
    }
    cold_rate(&view.upstream(id)?.service, view.plan.as_deref())
}

/// Returns the upstream of a sender's ask with what the control leader knows of it: whoever knows it
/// as cold is right.
pub(super) fn known_at_leader(view: &View, asked: &LimitedUpstream) -> LimitedUpstream {
    let known = rate_of(view, &asked.id, asked.limit.born);
    let alone = asked.cold.is_some_and(|cold| cold.alone);
    let cold = known.map(|rate| ColdLimit { rate, alone });
    LimitedUpstream {
        cold: cold.or(asked.cold),
        ..asked.clone()
    }
}

/// Returns whether a request may be written now: under a permit while that is valid, and without one
/// unless the upstream has turned cold since it was chosen.
pub fn is_permitted(
    core: &Handle,
    upstream: &UpstreamIncarnation,
    permit: Option<RatePermit>,
    request: &str,
) -> bool {
    if let Some(permit) = permit {
        return clock::boot_now() <= permit.until;
    }
    let view = core.control.view();
    let is_cold = rate_of(&view, &upstream.id, upstream.born).is_some();
    if is_cold {
        event!(
            Event::SendWithheld,
            request = request,
            upstream = upstream.id,
            born = upstream.born.0,
            reason = "upstream_cold",
            revision = view.revision
        );
    }
    !is_cold
}

/// Logs the upstreams that are cold in a view and were warm in the previous one, and the reverse.
pub(super) fn log_changes(previous: &View, view: &View) {
    for upstream in view.incarnations.iter() {
        let now = rate_of(view, &upstream.id, upstream.born);
        let before = rate_of(previous, &upstream.id, upstream.born);
        match (before, now) {
            (None, Some(rate)) => event!(
                Event::UpstreamCold,
                upstream = upstream.id,
                born = upstream.born.0,
                zone = upstream.zone,
                per_second = rate.per_second(),
                revision = view.revision
            ),
            (Some(_), None) => event!(
                Event::UpstreamWarm,
                upstream = upstream.id,
                born = upstream.born.0,
                zone = upstream.zone,
                revision = view.revision
            ),
            _ => (),
        }
    }
}
