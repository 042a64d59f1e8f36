//! The trainers' HTTP interface; the coordinator of the job answers it.

use std::time::Duration;

use dandelion_net::clock;
use dandelion_net::http::SharedBody;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::rollout::FeedRequest;
use dandelion_protocol::rollout::PublishRequest;
use dandelion_protocol::rollout::PullRequest;
use dandelion_protocol::rollout::RenewRequest;
use dandelion_protocol::time::Millis;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::Event;
use futures::FutureExt;
use futures::select_biased;
use http_types::Request;
use http_types::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::core::Handle;
use crate::serve;
use crate::serve::StreamGuard;

/// Prefix of the trainers' paths.
pub const JOBS_PREFIX: &str = "/v1/jobs/";

/// Longest wait for the job's coordinator; longer than the longest long poll.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(40);

const JSON: &str = "application/json";

/// Status and JSON body of an answer.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

/// Answers a trainer's request, here or through the daemon that coordinates the job.
pub async fn serve_trainer(core: &Handle, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    let reply = match admit(core, &mut request, &path).await {
        Ok((body, guard)) => answer_while_valid(core, &path, body, &guard).await,
        Err(refusal) => refused(&refusal),
    };
    let status = http_types::StatusCode::try_from(reply.status);
    let mut response = Response::new(status.unwrap_or(http_types::StatusCode::BadGateway));
    response.set_body(reply.body);
    response.insert_header("content-type", JSON);
    response
}

/// Checks that the key belongs to the job's team, and reads the body. The returned guard aborts the
/// request if the key stops being valid.
async fn admit(
    core: &Handle,
    request: &mut Request,
    path: &str,
) -> Result<(Vec<u8>, StreamGuard), Refusal> {
    let (job, _) = split_path(path)?;
    let leased = core.control.is_leased();
    let view = core.control.view();
    let config = view.config.jobs.get(&job).ok_or_else(job_not_found)?;
    let secret = serve::presented_secret(request).map(str::to_owned);
    let caller = serve::identify(
        &view,
        leased,
        clock::wall_now(),
        &config.service,
        secret.as_deref(),
    )?;
    if caller.team.as_ref() != Some(&config.team) {
        return Err(job_not_found());
    }
    let guard = core
        .streams
        .register(caller.key.clone(), core.next_number());
    let body = SharedBody::take(request).await;
    let body = body.map_err(|error| {
        Refusal::not_run(
            RefusalCode::BadRequest,
            &format!("the body could not be read: {error}"),
            "send it again",
        )
    })?;
    serve::recheck(&core.control.view(), &caller)?;
    Ok((body.into_bytes(), guard))
}

/// Answers, or refuses as soon as the trainer's key is no longer valid.
async fn answer_while_valid(
    core: &Handle,
    path: &str,
    body: Vec<u8>,
    guard: &StreamGuard,
) -> Reply {
    let aborted = guard.signal();
    let answer = answer(core, path, body).fuse();
    let aborted = aborted.raised().fuse();
    futures::pin_mut!(answer, aborted);
    select_biased! {
        () = aborted => refused(&serve::withdrawn()),
        reply = answer => reply,
    }
}

async fn answer(core: &Handle, path: &str, body: Vec<u8>) -> Reply {
    let Ok((job, _)) = split_path(path) else {
        return refused(&job_not_found());
    };
    let coordinator = core.control.view().coordinator(&job).cloned();
    match coordinator {
        Some(daemon) if daemon != core.identity.daemon => forward(core, &daemon, path, body).await,
        _ => answer_here(core, path, &body).await,
    }
}

async fn forward(core: &Handle, daemon: &DaemonId, path: &str, body: Vec<u8>) -> Reply {
    let call = CallBody::Forward {
        path: path.to_owned(),
        content_type: JSON.to_owned(),
        body,
    };
    let Some(mesh) = core.mesh() else {
        return refused(&no_coordinator());
    };
    match mesh.call(daemon, call, FORWARD_TIMEOUT).await {
        Ok(ReplyBody::Forwarded { status, body, .. }) => Reply { status, body },
        Ok(_) | Err(_) => refused(&no_coordinator().with_ran(Ran::Unknown)),
    }
}

/// Answers a trainer's request that another daemon forwarded.
pub async fn forwarded(core: &Handle, path: &str, body: Vec<u8>) -> ReplyBody {
    let reply = answer_here(core, path, &body).await;
    ReplyBody::Forwarded {
        status: reply.status,
        content_type: JSON.to_owned(),
        body: reply.body,
    }
}

async fn answer_here(core: &Handle, path: &str, body: &[u8]) -> Reply {
    match dispatch(core, path, body).await {
        Ok(answer) => reply_of(&answer),
        Err(refusal) => refused(&refusal),
    }
}

async fn dispatch(core: &Handle, path: &str, body: &[u8]) -> Result<Answer, Refusal> {
    let (job, action) = split_path(path)?;
    let driver = core.rollouts.driver(&job).ok_or_else(no_coordinator)?;
    let answer = match action {
        "prompts" => {
            let request: FeedRequest = parse_body(body)?;
            driver
                .request(core, |ticket| Event::Prompts { ticket, request })
                .await
        }
        "versions" => {
            let version = parse_body::<PublishRequest>(body)?.version;
            driver
                .request(core, |ticket| Event::Publish { ticket, version })
                .await
        }
        "batch" => {
            let request: PullRequest = parse_body(body)?;
            driver
                .request(core, |ticket| Event::Pull { ticket, request })
                .await
        }
        "lease" => {
            let RenewRequest { trainer, release } = parse_body(body)?;
            let event = |ticket| Event::Renew {
                ticket,
                trainer,
                release,
            };
            driver.request(core, event).await
        }
        _ => return Err(job_not_found()),
    };
    answer.ok_or_else(no_coordinator)
}

/// Splits `/v1/jobs/JOB/ACTION`.
fn split_path(path: &str) -> Result<(JobId, &str), Refusal> {
    let rest = path.strip_prefix(JOBS_PREFIX).ok_or_else(job_not_found)?;
    let (job, action) = rest.split_once('/').ok_or_else(job_not_found)?;
    let job = job.parse().map_err(|_bad_name| job_not_found())?;
    Ok((job, action))
}

fn parse_body<T>(body: &[u8]) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| {
        Refusal::not_run(
            RefusalCode::BadRequest,
            &format!("not a valid body: {error}"),
            "see docs/TRAINER-API.md",
        )
    })
}

fn reply_of(answer: &Answer) -> Reply {
    match answer {
        Answer::Batch(batch) => encode(200, batch),
        Answer::Void(void) => encode(410, void),
        Answer::Pending(after) => encode(202, &json!({ "retry_after_ms": after.0 })),
        Answer::FeedAgain { first, count } => encode(
            409,
            &json!({ "feed_again": { "first": first, "count": count } }),
        ),
        Answer::Fed(fed) => encode(200, &json!({ "fed": fed })),
        Answer::Renewed(lease) => encode(200, &json!({ "lease_ms": lease.0 })),
        Answer::Published(version) => encode(200, &json!({ "version": version })),
        Answer::Refused(refusal) => refused(refusal),
    }
}

fn encode<T>(status: u16, value: &T) -> Reply
where
    T: Serialize,
{
    Reply {
        status,
        body: serde_json::to_vec(value).unwrap_or_default(),
    }
}

fn refused(refusal: &Refusal) -> Reply {
    encode(refusal.status(), refusal)
}

fn job_not_found() -> Refusal {
    Refusal::not_run(
        RefusalCode::NotFound,
        "no such job for this key",
        "use /v1/jobs/JOB/prompts, versions, batch or lease with a key of the job's team",
    )
}

fn no_coordinator() -> Refusal {
    let refusal = Refusal::not_run(
        RefusalCode::NoUpstream,
        "no daemon is in charge of the job right now",
        "send the request again",
    );
    refusal.with_retry_after(Millis(500))
}
