//! Calls of operators (route plan, retirement of VMs, evacuation of zones), upstreams and trainers to a control daemon.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_control::tables::BarrierTable;
use dandelion_control::tables::MAX_PLAN_BYTES;
use dandelion_control::tables::NameVersion;
use dandelion_control::tables::PlanTable;
use dandelion_control::tables::ReplacePlan;
use dandelion_control::tables::VersionsTable;
use dandelion_kernel::TableSet;
use dandelion_net::clock;
use dandelion_net::http::SharedBody;
use dandelion_net::http::server::Handler;
use dandelion_platform::ControlCall;
use dandelion_platform::DecodeError;
use dandelion_platform::calls;
use dandelion_platform::incarnations as wire;
use dandelion_platform::plan;
use dandelion_protocol::codec;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::Revision;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Request;
use http_types::Response;

use crate::control::CommandError;
use crate::core::Handle;
use crate::gateway::answer;
use crate::gateway::incarnations;
use crate::gateway::retire;
use crate::gateway::zones;

/// Longest wait until this daemon has applied the revision that a read requires.
const APPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which the applied revision is checked.
const APPLY_POLL: Duration = Duration::from_millis(5);

/// HTTP handler for the control address.
#[derive(Debug, Clone)]
pub struct ControlApi(Handle);

impl ControlApi {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self(core)
    }

    async fn dispatch(&self, request: &mut Request) -> Response {
        let core = &self.0;
        let call = calls::control_call(request);
        let body = SharedBody::take(request).await.unwrap_or_default();
        let body = body.into_bytes();
        match call {
            ControlCall::ReplacePlan => replace_plan(core, body).await,
            ControlCall::ReadPlan => read_plan(core).await,
            ControlCall::Report(id) => report(core, &id, &body).await,
            ControlCall::End(id) => match wire::decode_end(&id, &body) {
                Ok(end) => acknowledge(incarnations::end(core, end).await),
                Err(error) => unreadable(&id, &error),
            },
            ControlCall::NameVersion => name_version(core, &body).await,
            ControlCall::StartRetire(vm) => retire::start(core, &vm).await,
            ControlCall::ReadRetire(vm) => retire::read(core, &vm).await,
            ControlCall::EvacuateZone(zone) => zones::order(core, &zone, true).await,
            ControlCall::RestoreZone(zone) => zones::order(core, &zone, false).await,
            ControlCall::Other => answer::status(404),
        }
    }
}

impl Handler for ControlApi {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        self.dispatch(&mut request).await
    }
}

async fn replace_plan(core: &Handle, document: Vec<u8>) -> Response {
    let decoded = plan::decode_plan(&document).map_err(|error| error.to_string());
    let checked = decoded.and_then(|plan| {
        let checked = plan.check().map_err(|error| error.to_string());
        checked.map(|()| plan)
    });
    let plan = match checked {
        Ok(plan) => plan,
        Err(reason) => {
            event!(Event::PlanRefused, reason = reason);
            return answer::status(400);
        }
    };
    let version = plan.version;
    let command = ReplacePlan {
        plan,
        document: document.into(),
    };
    let length = codec::encoded_len(&command).unwrap_or(usize::MAX);
    if length > MAX_PLAN_BYTES {
        event!(
            Event::PlanRefused,
            reason = "plan_too_long",
            bytes = length,
            limit = MAX_PLAN_BYTES
        );
        return answer::status(413);
    }
    match core.propose_own::<PlanTable>(&command).await {
        Ok(applied) => {
            event!(
                Event::PlanAccepted,
                version = version,
                held = applied.reply,
                revision = applied.revision
            );
            answer::status(200)
        }
        Err(error) => unacknowledged(&error),
    }
}

/// Reads the newest plan. A barrier is committed and applied first, so that the answer includes
/// every change that was acknowledged before the request.
async fn read_plan(core: &Handle) -> Response {
    let Some(replica) = core.control.replica() else {
        return answer::status(503);
    };
    let barrier = match core.propose_own::<BarrierTable>(&()).await {
        Ok(applied) => applied.revision,
        Err(error) => return unacknowledged(&error),
    };
    if !wait_applied(core, barrier).await {
        return answer::not_run(answer::RETRY_DELAY);
    }
    let document = replica.read::<PlanTable, _, _>(|table| table.document().to_vec());
    match document.filter(|bytes| !bytes.is_empty()) {
        Some(bytes) => answer::json(200, bytes),
        None => answer::status(404),
    }
}

async fn wait_applied(core: &Handle, revision: Revision) -> bool {
    let until = Instant::now() + APPLY_TIMEOUT;
    let applied = || {
        let replica = core.control.replica();
        replica.is_some_and(|r| r.read_all(TableSet::revision) >= revision)
    };
    while !applied() {
        if Instant::now() >= until {
            return false;
        }
        task::sleep(APPLY_POLL).await;
    }
    true
}

async fn report(core: &Handle, id: &str, body: &[u8]) -> Response {
    let report = match wire::decode_report(id, body) {
        Ok(report) => report,
        Err(error) => return unreadable(id, &error),
    };
    if let Err(error) = report.check(clock::wall_now()) {
        event!(Event::ReportRefused, upstream = id, reason = error);
        return answer::status(400);
    }
    let view = core.control.view();
    let address = report.life.address.to_string();
    if view.members.iter().any(|m| m.address == address) {
        event!(
            Event::ReportRefused,
            upstream = id,
            reason = "address_of_a_daemon"
        );
        return answer::status(400);
    }
    let Some(plan) = &view.plan else {
        // Without a plan it is not known whether the upstream's service exists.
        return answer::not_run(answer::RETRY_DELAY);
    };
    if plan.service(&report.life.service).is_none() {
        event!(
            Event::ReportRefused,
            upstream = id,
            reason = "unknown_service",
            plan = plan.version
        );
        return answer::status(400);
    }
    acknowledge(incarnations::report(core, report).await)
}

async fn name_version(core: &Handle, body: &[u8]) -> Response {
    let named = match wire::decode_version(body) {
        Ok(named) => named,
        Err(error) => return unreadable("version", &error),
    };
    let command = NameVersion {
        model: named.model.clone(),
        version: named.version,
    };
    match core.propose_own::<VersionsTable>(&command).await {
        Ok(applied) => {
            event!(
                Event::VersionNamed,
                model = named.model,
                version = named.version,
                newest = applied.reply
            );
            answer::status(200)
        }
        Err(error) => unacknowledged(&error),
    }
}

fn acknowledge(result: Result<(), CommandError>) -> Response {
    match result {
        Ok(()) => answer::json(200, b"{}".to_vec()),
        Err(error) => unacknowledged(&error),
    }
}

fn unreadable(what: &str, error: &DecodeError) -> Response {
    event!(Event::ReportRefused, upstream = what, reason = error);
    answer::status(400)
}

pub(super) fn unacknowledged(error: &CommandError) -> Response {
    log::warn!("a change is not acknowledged: {error}");
    if matches!(
        error,
        CommandError::Unanswered(ProposeError::TooLong { .. })
    ) {
        return answer::status(413);
    }
    answer::not_run(answer::RETRY_DELAY)
}
