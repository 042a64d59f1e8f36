//! Asks for permits to send to engines that name a limit or are cold.

use std::collections::BTreeSet;

use async_std::task;
use dandelion_batch::scheduler::Permits;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;

use crate::control::View;
use crate::core::Handle;
use crate::gateway::limits;
use crate::gateway::limits::Asked;
use crate::stores::runner::Runner;
use crate::stores::runner::TaskMessage;

/// Time after which permits are asked for again if no control leader answered.
const LEADER_PAUSE: Millis = Millis(200);

impl Runner {
    /// Returns the upstreams that name a limit or are cold, as far as this daemon knows.
    pub(super) fn limited_upstreams(&self, view: &View) -> BTreeSet<UpstreamId> {
        let limits = &self.core.gateway.limits;
        let limited = view.incarnations.iter();
        let limited = limited.filter(|upstream| limits.limited(view, upstream).is_some());
        limited.map(|upstream| upstream.id.clone()).collect()
    }

    /// Asks for up to `count` permits of an engine.
    pub(super) fn ask_permits(&self, engine: UpstreamIncarnation, count: u32) {
        let core = self.core.clone();
        let messages = self.messages.clone();
        task::spawn(async move {
            let (permits, wait) = take_permits(&core, &engine, count).await;
            let message = TaskMessage::Permitted(engine, permits, wait);
            // The runner is gone if its term is over.
            let _gone = messages.send(message).await;
        });
    }
}

async fn take_permits(
    core: &Handle,
    engine: &UpstreamIncarnation,
    count: u32,
) -> (Option<Permits>, Millis) {
    let view = core.control.view();
    let Some(limited) = core.gateway.limits.limited(&view, engine) else {
        // The limit has ended meanwhile, of which the scheduler is about to be notified.
        return (None, Millis::ZERO);
    };
    let per_second = limited.rate().per_second();
    let call = PermitCall {
        upstreams: vec![limited],
        count,
    };
    let denied = |reason: &str, wait: Millis| {
        event!(
            LogEvent::PermitDenied,
            upstream = engine.id,
            per_second = per_second,
            wanted = count,
            reason = reason,
            wait_ms = wait.0
        );
        (None, wait)
    };
    match limits::ask(core, call).await {
        Asked::Granted(grant, until) => {
            event!(
                LogEvent::PermitTaken,
                upstream = engine.id,
                permit = grant.first,
                per_second = per_second,
                count = grant.count,
                wanted = count
            );
            let permits = Permits {
                first: grant.first,
                count: grant.count,
                until,
            };
            (Some(permits), grant.next)
        }
        Asked::Denied(wait) => denied("no_permit_left", wait),
        Asked::NoLeader => denied("no_control_leader", LEADER_PAUSE),
    }
}
