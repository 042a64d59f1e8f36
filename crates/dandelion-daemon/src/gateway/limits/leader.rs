//! Asks the control leader for permits, and grants them as control leader.

use std::time::Duration;

use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::limits::Grant;
use dandelion_protocol::limits::PERMIT_TIME;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::limits::PermitReply;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::Millis;
use dandelion_route::limits::Load;

use crate::control::View;
use crate::core::Handle;
use crate::gateway::limits::cold::known_at_leader;

/// Longest wait for the control leader's reply. It is short: callers wait meanwhile, and there may
/// be no leader.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Remaining lease that granting permits requires: every permit is used, or void, before the next
/// leader grants any.
const GRANT_MARGIN: Millis = Millis(PERMIT_TIME.0 + 50);

/// Outcome of asking for permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Asked {
    /// The permits, and the time on the boot-time clock until which they may be used.
    Granted(Grant, Millis),
    /// No upstream has a permit left; one has again after this time.
    Denied(Millis),
    /// No control leader answered.
    NoLeader,
}

/// Grants permits, if this daemon is the control leader for long enough.
pub fn grant(core: &Handle, call: &PermitCall) -> PermitReply {
    let Some(term) = core.leader_term(GRANT_MARGIN) else {
        return PermitReply::NotLeader;
    };
    let view = core.control.view();
    let upstreams = call.upstreams.iter();
    let call = PermitCall {
        upstreams: upstreams
            .map(|asked| known_at_leader(&view, asked))
            .collect(),
        count: call.count,
    };
    let mut grantor = core.gateway.limits.grantor();
    grantor.grant(clock::boot_now(), term, &call, |id| load_of(&view, id))
}

/// Returns what an upstream is sent: items if it is an engine of the plan.
fn load_of(view: &View, id: &UpstreamId) -> Option<Load> {
    let upstream = view.upstream(id)?;
    let service = view.plan.as_ref()?.service(&upstream.service)?;
    let is_engine = service.memory.is_some();
    Some(if is_engine {
        Load::Items
    } else {
        Load::Requests
    })
}

/// Asks the control leader for permits, and remembers which upstreams have none left.
pub async fn ask(core: &Handle, call: PermitCall) -> Asked {
    let asked_at = clock::boot_now();
    let body = CallBody::Permits(call.clone());
    let reply = core.call_leader(&body, ASK_TIMEOUT, permit_reply).await;
    let now = clock::boot_now();
    let mut known = core.gateway.limits.known();
    let asked = match reply {
        Some(PermitReply::Granted(grant)) => {
            known.set_empty(&grant.upstream, now + grant.next);
            Asked::Granted(grant, asked_at + PERMIT_TIME)
        }
        Some(PermitReply::Denied(waits)) => {
            for (upstream, wait) in call.upstreams.iter().zip(&waits) {
                known.set_empty(&upstream.id, now + *wait);
            }
            Asked::Denied(waits.into_iter().min().unwrap_or_default())
        }
        Some(PermitReply::NotLeader) | None => {
            known.set_no_leader(now);
            Asked::NoLeader
        }
    };
    core.metrics.count_permits(&asked);
    asked
}

/// Returns the leader's reply, or none if the daemon does not lead.
fn permit_reply(reply: ReplyBody) -> Option<PermitReply> {
    match reply {
        ReplyBody::Permits(PermitReply::NotLeader) => None,
        ReplyBody::Permits(reply) => Some(reply),
        _ => None,
    }
}
