//! Batch jobs of callers, passed on to the daemon in charge of them.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_platform::CallerCall;
use dandelion_platform::calls;
use dandelion_platform::headers::CallerHeaders;
use dandelion_platform::jobs as form;
use dandelion_protocol::batch::BatchCall;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::BatchReply;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::plan::PlanTeam;
use dandelion_protocol::plan::RouteRule;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use http_types::Request;
use http_types::Response;

use crate::core::Handle;
use crate::gateway::answer;
use crate::stores;

/// Longest wait for one store daemon beside the wait that the reader asks for.
const ASK_LIMIT: Duration = Duration::from_millis(900);

/// Longest time for which a caller is kept waiting while no store daemon is in charge.
const SEARCH_LIMIT: Duration = Duration::from_secs(3);

/// Pause after every store daemon was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for results that a reader may ask for.
const MAX_WAIT: Millis = Millis(1_000);

/// What came of a call.
pub enum Outcome {
    /// An answer of the daemon in charge.
    Replied(BatchReply),
    /// No daemon took the call.
    NotTaken,
    /// A daemon may have carried the call out.
    Unsure,
}

/// Takes a batch job.
pub async fn submit(
    core: &Handle,
    route: &RouteRule,
    team: &PlanTeam,
    caller: &CallerHeaders,
    mut request: Request,
) -> Response {
    let Some(id) = caller.attempt.clone() else {
        return answer::status(400);
    };
    let path = request.url().path().to_owned();
    let body = request.body_bytes().await.unwrap_or_default();
    let submission = match form::decode_job(&body) {
        Ok(submission) => submission,
        Err(error) => {
            refused(&id, &error.to_string());
            return answer::status(400);
        }
    };
    let items = submission.items.len();
    let job = BatchJob {
        id: id.clone(),
        team: team.name.clone(),
        host: caller.host.clone(),
        path,
        min_version: submission.min_version,
        wanted: submission.wanted,
        due: route.due,
        keep: route.keep,
        attempts: route.attempts,
        pure: route.pure,
        resumable: route.resumable,
        items: submission.items,
    };
    match ask(core, BatchCall::Submit(Box::new(job)), Millis::ZERO).await {
        Outcome::Replied(BatchReply::Done) => {
            event!(
                Event::JobAccepted,
                job = id,
                team = team.name,
                items = items
            );
            answer::status(202)
        }
        Outcome::NotTaken => {
            refused(&id, "no_store_in_charge");
            answer::not_run(answer::COME_BACK)
        }
        Outcome::Replied(_) | Outcome::Unsure => {
            event!(Event::RequestFailed, request = id, reason = "store_unsure");
            answer::status(504)
        }
    }
}

/// Serves a call on a job that exists.
pub async fn serve(
    core: &Handle,
    call: &CallerCall,
    team: &PlanTeam,
    caller: &CallerHeaders,
    request: &Request,
) -> Response {
    let team = team.name.clone();
    let (call, job, wait) = match call {
        CallerCall::ReadResults(job) => {
            let wait = caller.wait.min(MAX_WAIT);
            let call = BatchCall::Read {
                job: job.clone(),
                team,
                after: calls::first_position(request),
                wait,
            };
            (call, job, wait)
        }
        CallerCall::ReadItem(job) => {
            let item = calls::item(request).unwrap_or_default();
            let job_id = job.clone();
            let call = BatchCall::Body {
                job: job_id,
                team,
                item,
            };
            (call, job, Millis::ZERO)
        }
        CallerCall::EndJob(job) => {
            let job_id = job.clone();
            (BatchCall::End { job: job_id, team }, job, Millis::ZERO)
        }
        CallerCall::Routed => return answer::status(404),
    };
    let ends = matches!(call, BatchCall::End { .. });
    match ask(core, call, wait).await {
        Outcome::Replied(BatchReply::Page(page)) => {
            let charged = core.gateway.jobs_leader();
            let page = stores::read_results(core, job, page, charged.as_ref()).await;
            page.map_or_else(
                || {
                    refused(job, "texts_out_of_reach");
                    answer::not_run(answer::COME_BACK)
                },
                |page| answer::json(200, form::encode_page(&page)),
            )
        }
        Outcome::Replied(BatchReply::Body(bytes)) => {
            let mut response = answer::status(200);
            response.set_body(bytes);
            response
        }
        Outcome::Replied(BatchReply::Done) => {
            event!(Event::JobEnded, job = job);
            answer::status(200)
        }
        Outcome::Replied(BatchReply::Unknown) => {
            refused(job, "unknown_job");
            answer::status(404)
        }
        Outcome::NotTaken | Outcome::Replied(_) | Outcome::Unsure if !ends => {
            refused(job, "store_out_of_reach");
            answer::not_run(answer::COME_BACK)
        }
        Outcome::NotTaken | Outcome::Replied(_) | Outcome::Unsure => {
            event!(Event::RequestFailed, request = job, reason = "store_unsure");
            answer::status(504)
        }
    }
}

fn refused(id: &str, reason: &str) {
    event!(Event::RequestRefused, request = id, reason = reason);
}

/// Asks the daemon in charge, and looks for it if it has moved. Every call may be repeated.
pub async fn ask(core: &Handle, call: BatchCall, wait: Millis) -> Outcome {
    let until = Instant::now() + SEARCH_LIMIT;
    let limit = ASK_LIMIT + Duration::from_millis(wait.0);
    let mut unsure = false;
    let mut asked: Vec<DaemonId> = Vec::new();
    while Instant::now() < until {
        let Some(store) = next_store(core, &asked) else {
            asked.clear();
            task::sleep(ROUND_PAUSE).await;
            continue;
        };
        match ask_at(core, &store, call.clone(), limit).await {
            Some(BatchReply::NotInCharge(leader)) => {
                let other = leader.filter(|l| *l != store && !asked.contains(l));
                core.gateway.set_jobs_leader(other);
            }
            Some(BatchReply::Unsure) | None => {
                unsure = true;
                core.gateway.set_jobs_leader(None);
            }
            Some(reply) => {
                core.gateway.set_jobs_leader(Some(store));
                return Outcome::Replied(reply);
            }
        }
        asked.push(store);
    }
    if unsure {
        Outcome::Unsure
    } else {
        Outcome::NotTaken
    }
}

/// Returns the daemon that was in charge last, or the next store that was not asked yet.
fn next_store(core: &Handle, asked: &[DaemonId]) -> Option<DaemonId> {
    let leader = core.gateway.jobs_leader();
    if let Some(leader) = leader.filter(|l| !asked.contains(l)) {
        return Some(leader);
    }
    let view = core.control.view();
    let stores = view.members.iter().filter(|m| m.role == Role::Store);
    let own = &core.identity.zone;
    let mut stores: Vec<_> = stores.filter(|m| !asked.contains(&m.id)).collect();
    stores.sort_by_key(|m| (m.leaving, m.zone != *own));
    stores.first().map(|m| m.id.clone())
}

/// Asks one store; nothing if no answer came, though the call may have arrived.
async fn ask_at(
    core: &Handle,
    store: &DaemonId,
    call: BatchCall,
    limit: Duration,
) -> Option<BatchReply> {
    let mesh = core.mesh()?;
    match mesh.call(store, CallBody::Batch(call), limit).await {
        Ok(ReplyBody::Batch(reply)) => Some(reply),
        Err(dandelion_net::mesh::CallError::NotSent) => Some(BatchReply::NotInCharge(None)),
        Ok(_) | Err(dandelion_net::mesh::CallError::Unknown) => None,
    }
}
