//! Checks immediately before a request or an item is written that its upstream may still get it.

use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_route::gate::Knowledge;
use dandelion_route::gate::SEND_MARGIN;
use dandelion_route::gate::Withheld;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;

/// Returns whether this daemon's view is new enough to choose upstreams by it.
pub fn is_current(core: &Handle) -> bool {
    core.control.lease_left() >= SEND_MARGIN
}

/// Returns whether a request may be written to an upstream now, and logs it if not.
pub fn may_send(core: &Handle, upstream: &UpstreamIncarnation, request: &str) -> bool {
    // The lease is read first, so that it covers the view.
    let lease_left = core.control.lease_left();
    let view = core.control.view();
    let checked = Knowledge {
        lease_left,
        incarnations: &view.incarnations,
        leaving: &core.gateway.leaving.known(),
        evacuated: &view.evacuated,
    }
    .check(upstream);
    match checked {
        Ok(()) => true,
        Err(reason) => {
            log_withheld(upstream, request, reason, (lease_left, view.revision));
            false
        }
    }
}

/// Returns whether the product's own routes may send to an upstream of this daemon's zone now, and
/// logs it if not.
pub fn may_send_own(core: &Handle, upstream: &UpstreamId, request: RequestId) -> bool {
    let view = core.control.view();
    let is_evacuated = view.is_evacuated(&core.identity.zone);
    if is_evacuated {
        event!(
            Event::SendWithheld,
            request = format!("{:032x}", request.0),
            upstream = upstream,
            reason = Withheld::Evacuated,
            revision = view.revision
        );
    }
    !is_evacuated
}

fn log_withheld(
    upstream: &UpstreamIncarnation,
    request: &str,
    reason: Withheld,
    (lease_left, revision): (Millis, Revision),
) {
    event!(
        Event::SendWithheld,
        request = request,
        upstream = upstream.id,
        born = upstream.born.0,
        reason = reason,
        revision = revision,
        lease_ms = lease_left.0
    );
}
