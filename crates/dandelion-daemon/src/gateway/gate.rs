//! Checks immediately before a request or an item is written that its upstream may still get it.

use std::sync::Arc;

use dandelion_protocol::ids::Revision;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_route::gate::Knowledge;
use dandelion_route::gate::Withheld;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::View;
use crate::core::Handle;

/// Returns whether this daemon's view is new enough to choose upstreams by it.
pub fn is_current(core: &Handle) -> bool {
    let (lease_left, view) = belief(core);
    knowledge(lease_left, &view).is_current()
}

/// Returns whether a request may be written to an upstream now, and logs it if not.
pub fn may_send(core: &Handle, upstream: &UpstreamIncarnation, request: &str) -> bool {
    let (lease_left, view) = belief(core);
    match knowledge(lease_left, &view).check(upstream) {
        Ok(()) => true,
        Err(reason) => {
            log_withheld(upstream, request, reason, (lease_left, view.revision));
            false
        }
    }
}

/// Returns the time left of the lease, and a view that it covers because it is read afterwards.
fn belief(core: &Handle) -> (Millis, Arc<View>) {
    let lease_left = core.control.lease_left();
    (lease_left, core.control.view())
}

fn knowledge(lease_left: Millis, view: &View) -> Knowledge<'_> {
    Knowledge {
        lease_left,
        incarnations: &view.incarnations,
    }
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
