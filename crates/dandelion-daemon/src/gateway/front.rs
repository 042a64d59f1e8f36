//! Serves the requests of callers on routes of the plan.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use dandelion_net::http::server::Handler;
use dandelion_net::http::target;
use dandelion_platform::CallerCall;
use dandelion_platform::calls;
use dandelion_platform::headers;
use dandelion_platform::headers::CallerHeaders;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::plan::PlanTeam;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use crate::core::Handle;
use crate::gateway::answer;
use crate::gateway::forward;
use crate::gateway::jobs;

/// HTTP handler for the address that callers connect to.
#[derive(Debug, Clone)]
pub struct Front(Handle);

impl Front {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self(core)
    }
}

impl Handler for Front {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let caller = headers::caller_headers(&request);
        let served = pin!(self.serve(&caller, request));
        match select(served, pin!(self.0.cut())).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => {
                let request = caller.attempt.as_deref().unwrap_or("-");
                event!(Event::RequestFailed, request = request, reason = "stopped");
                answer::status(502)
            }
        }
    }
}

impl Front {
    async fn serve(&self, caller: &CallerHeaders, request: Request) -> Response {
        let core = &self.0;
        if let Some(name) = headers::repeated(&request) {
            let reason = format!("repeated_{name}");
            return refuse(caller, &reason, answer::repeated_header(name));
        }
        // The lease is checked before the plan is read, so that it covers that plan.
        let leased = core.control.is_leased();
        let view = core.control.view();
        let Some(plan) = view.plan.as_ref().filter(|_| leased) else {
            let response = answer::not_run(answer::LEASE_RETRY_DELAY);
            return refuse(caller, "no_lease", response);
        };
        match calls::caller_call(&request) {
            CallerCall::Routed => routed(core, plan, caller, request).await,
            _ if !core.takes(time_limit(caller, jobs::MAX_CALL_TIME), true) => {
                refuse(caller, "stopping", answer::stopping())
            }
            call => match team(plan, caller) {
                Some(team) => jobs::serve(core, &call, team, caller, &request).await,
                None => refuse(caller, "unknown_key", answer::status(401)),
            },
        }
    }
}

/// Returns the team whose key the caller sent.
fn team<'a>(plan: &'a RoutePlan, caller: &CallerHeaders) -> Option<&'a PlanTeam> {
    plan.holder(caller.key.as_deref()?)
}

async fn routed(
    core: &Handle,
    plan: &Arc<RoutePlan>,
    caller: &CallerHeaders,
    request: Request,
) -> Response {
    let target = target(&request);
    let path = target.split('?').next().unwrap_or_default();
    let Some(route) = plan.route(&caller.host, path) else {
        return refuse(caller, "no_route", answer::status(404));
    };
    let team = team(plan, caller);
    let needs_key = !plan.teams.is_empty() && !route.open;
    if needs_key && team.is_none() {
        return refuse(caller, "unknown_key", answer::status(401));
    }
    let is_job = route.kind == RouteKind::Batch && request.method() == Method::Post;
    let limit = if is_job {
        time_limit(caller, jobs::MAX_CALL_TIME)
    } else {
        time_limit(caller, route.timeout)
    };
    let may_repeat = is_job || route.resumable || route.kind == RouteKind::Idempotent;
    if !core.takes(limit, may_repeat) {
        return refuse(caller, "stopping", answer::stopping());
    }
    if is_job {
        let Some(team) = team else {
            return refuse(caller, "unknown_key", answer::status(401));
        };
        let started = Instant::now();
        let response = jobs::submit(core, route, team, caller, request).await;
        record_metrics(core, Some(&team.name), Class::Rollout, started, &response);
        return response;
    }
    let team = team.map(|t| &t.name);
    let started = Instant::now();
    let response = Box::pin(forward::serve(core, route, team, caller, request)).await;
    record_metrics(core, team, Class::Interactive, started, &response);
    response
}

/// Returns the longest time until a request is answered, if serving it takes `longest` at most.
fn time_limit(caller: &CallerHeaders, longest: Millis) -> Millis {
    caller
        .remaining_time
        .map_or(longest, |remaining| remaining.min(longest))
}

/// Counts a request in the metrics of its team and class.
fn record_metrics(
    core: &Handle,
    team: Option<&TeamId>,
    class: Class,
    started: Instant,
    response: &Response,
) {
    let metrics = core.metrics.team(team, class);
    if response.status() == StatusCode::ServiceUnavailable {
        metrics.refuse();
        return;
    }
    metrics.begin();
    metrics.end(Millis(started.elapsed().as_millis() as u64), 0);
}

fn refuse(caller: &CallerHeaders, reason: &str, response: Response) -> Response {
    event!(
        Event::RequestRefused,
        request = caller.attempt.as_deref().unwrap_or("-"),
        reason = reason,
        status = u16::from(response.status())
    );
    response
}
