//! Calls of callers on batch jobs, forwarded to the leader of the store group.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_batch::table::MAX_JOB_BYTES;
use dandelion_net::http::SharedBody;
use dandelion_net::http::memory::Full;
use dandelion_net::http::memory::Held;
use dandelion_net::http::memory::SHORT_BYTES;
use dandelion_platform::CallerCall;
use dandelion_platform::calls;
use dandelion_platform::headers::CallerHeaders;
use dandelion_platform::jobs as wire;
use dandelion_protocol::batch::BatchCall;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::BatchReply;
use dandelion_protocol::codec;
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

/// Longest wait for one store daemon's answer, in addition to the wait that a reader requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time to search for a leader before the caller is refused.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after a round in which no store daemon accepted the call.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for results that a reader can request.
const MAX_WAIT: Millis = Millis(1_000);

/// Longest time until a call is answered: the search, and the last store's answer to a reader that
/// waits.
pub const MAX_CALL_TIME: Millis = Millis(4_900);

/// Outcome of a call to the leader.
pub enum Outcome {
    /// The leader answered.
    Replied(BatchReply),
    /// No daemon accepted the call; it has no effect.
    NotAccepted,
    /// A daemon may have executed the call.
    Unsure,
}

/// Submits a batch job.
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
    let body = SharedBody::take(&mut request).await.unwrap_or_default();
    let Ok(_decoded) = reserve_decoded(core, body.len()) else {
        core.client_memory.count_refusal("memory");
        log_refusal(&id, "memory");
        return answer::not_run(answer::RETRY_DELAY);
    };
    let body = body.into_bytes();
    let submission = match wire::decode_job(&body) {
        Ok(submission) => submission,
        Err(error) => {
            log_refusal(&id, &error.to_string());
            return answer::status(400);
        }
    };
    drop(body);
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
    let length = codec::encoded_len(&job).unwrap_or(usize::MAX);
    if length > MAX_JOB_BYTES {
        event!(
            Event::RequestRefused,
            request = id,
            reason = "job_too_long",
            bytes = length,
            limit = MAX_JOB_BYTES
        );
        return answer::status(413);
    }
    match call_leader(core, BatchCall::Submit(Arc::new(job)), Millis::ZERO).await {
        Outcome::Replied(BatchReply::Done) => {
            event!(
                Event::JobAccepted,
                job = id,
                team = team.name,
                items = items
            );
            answer::status(202)
        }
        Outcome::NotAccepted => {
            log_refusal(&id, "no_store_in_charge");
            answer::not_run(answer::RETRY_DELAY)
        }
        Outcome::Replied(_) | Outcome::Unsure => {
            event!(Event::RequestFailed, request = id, reason = "store_unsure");
            answer::status(504)
        }
    }
}

/// Accounts the decoded form of a job's body, which is held beside it for a moment. The form that is sent to
/// a store takes the place of the body.
fn reserve_decoded(core: &Handle, encoded: usize) -> Result<Option<Held>, Full> {
    let decoded = encoded / 4 * 3;
    let is_long = decoded > SHORT_BYTES;
    let reserved = is_long.then(|| core.client_memory.reserve(decoded));
    reserved.transpose()
}

/// Serves a call on a submitted job.
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
    let is_end = matches!(call, BatchCall::End { .. });
    match call_leader(core, call, wait).await {
        Outcome::Replied(BatchReply::Page(page)) => {
            let leader = core.gateway.jobs_leader();
            let page = stores::read_results(core, job, page, leader.as_ref()).await;
            page.map_or_else(
                || {
                    log_refusal(job, "texts_out_of_reach");
                    answer::not_run(answer::RETRY_DELAY)
                },
                |page| answer::json(200, wire::encode_page(&page)),
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
            log_refusal(job, "unknown_job");
            answer::status(404)
        }
        Outcome::NotAccepted | Outcome::Replied(_) | Outcome::Unsure if !is_end => {
            log_refusal(job, "store_out_of_reach");
            answer::not_run(answer::RETRY_DELAY)
        }
        Outcome::NotAccepted | Outcome::Replied(_) | Outcome::Unsure => {
            event!(Event::RequestFailed, request = job, reason = "store_unsure");
            answer::status(504)
        }
    }
}

fn log_refusal(id: &str, reason: &str) {
    event!(Event::RequestRefused, request = id, reason = reason);
}

/// Calls the leader of the store group, and searches for it if it has changed. Every call is
/// idempotent, so it can be sent to several daemons.
pub async fn call_leader(core: &Handle, call: BatchCall, wait: Millis) -> Outcome {
    let until = Instant::now() + SEARCH_TIMEOUT;
    let limit = CALL_TIMEOUT + Duration::from_millis(wait.0);
    let mut unsure = false;
    let mut called: Vec<DaemonId> = Vec::new();
    while Instant::now() < until {
        let Some(store) = next_store(core, &called) else {
            called.clear();
            task::sleep(ROUND_DELAY).await;
            continue;
        };
        match call_store(core, &store, call.clone(), limit).await {
            Some(BatchReply::NotInCharge(leader)) => {
                let other = leader.filter(|l| *l != store && !called.contains(l));
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
        called.push(store);
    }
    if unsure {
        Outcome::Unsure
    } else {
        Outcome::NotAccepted
    }
}

/// Returns the last known leader, or else the next store that was not called in this round.
fn next_store(core: &Handle, called: &[DaemonId]) -> Option<DaemonId> {
    let leader = core.gateway.jobs_leader();
    if let Some(leader) = leader.filter(|l| !called.contains(l)) {
        return Some(leader);
    }
    let view = core.control.view();
    let stores = view.members.iter().filter(|m| m.role == Role::Store);
    let own = &core.identity.zone;
    let mut stores: Vec<_> = stores.filter(|m| !called.contains(&m.id)).collect();
    stores.sort_by_key(|m| (m.leaving, m.zone != *own));
    stores.first().map(|m| m.id.clone())
}

/// Calls one store. Returns nothing if the call may have arrived but no answer came.
async fn call_store(
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
