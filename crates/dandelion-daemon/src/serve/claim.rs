//! Non-idempotent requests: the caller's id is claimed in the replicated table before the first
//! byte is sent to an upstream.

use std::time::Duration;

use async_std::task;
use dandelion_net::clock;
use dandelion_net::http::BodyBuffer;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::claims::AttemptId;
use dandelion_route::claims::CallerId;
use dandelion_route::claims::Claim;
use dandelion_route::claims::ClaimBatch;
use dandelion_route::claims::ClaimKey;
use dandelion_route::claims::ClaimReply;
use dandelion_route::claims::ClaimResult;
use dandelion_route::claims::ClaimStep;
use dandelion_route::claims::ClaimsTable;
use dandelion_route::claims::StoredAnswer;
use dandelion_route::claims::request_digest;
use http_types::Response;
use http_types::StatusCode;

use crate::control::CommandError;
use crate::core::Handle;
use crate::serve::entry;
use crate::serve::entry::AnswerHead;
use crate::serve::streams::StreamGuard;

/// Header with the caller's id of the request.
const ID_HEADER: &str = "idempotency-key";

/// Maximum number of tries to record the result of a granted attempt.
const SETTLE_TRIES: u32 = 5;

/// Maximum number of tries to release a claim whose reply was lost.
const RELEASE_TRIES: u32 = 60;

/// Delay between two tries to record a result or release a claim.
const SETTLE_DELAY: Duration = Duration::from_millis(300);

/// Time after the request's timeout by which its attempt has certainly ended.
const SETTLE_MARGIN: Millis = Millis::from_secs(5);

/// Longest answer that is returned, in bytes; the table stores shorter ones only.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Runs the request at most once over all resends, whichever daemons receive them.
pub async fn serve_once(
    core: &Handle,
    request: ServeRequest,
    guard: StreamGuard,
) -> Result<Response, Refusal> {
    let claim = make_claim(core, &request)?;
    match propose_step(core, ClaimStep::Claim(claim.clone())).await {
        Ok(ClaimReply::Granted) => run(core, request, claim, guard).await,
        Ok(ClaimReply::Answered(answer)) => Ok(replay(&answer)),
        Ok(reply) => Err(refuse(&reply)),
        Err(_) => {
            // The claim may have been recorded, but its attempt will never run.
            task::spawn(release(core.clone(), claim));
            Err(no_quorum())
        }
    }
}

fn make_claim(core: &Handle, request: &ServeRequest) -> Result<Claim, Refusal> {
    let team = request
        .team
        .clone()
        .ok_or_else(|| bad_id("an open route has no team"))?;
    let header = request.headers.iter().find(|h| h.name == ID_HEADER);
    let header = header.ok_or_else(|| bad_id("the request has no Idempotency-Key"))?;
    let caller: Result<CallerId, _> = header.value.parse();
    let caller = caller.map_err(|error| bad_id(&error.to_string()))?;
    Ok(Claim {
        key: ClaimKey {
            caller,
            cell: core.settings.cell,
            team,
            service: request.service.clone(),
        },
        digest: request_digest(&request.method, &request.path, &request.body),
        attempt: AttemptId {
            daemon: core.identity.daemon.clone(),
            incarnation: core.identity.incarnation,
            sequence: core.next_number(),
        },
        timeout: request.timeout + SETTLE_MARGIN,
    })
}

/// Runs a granted attempt to its end, even if the caller disconnects, so that a resend gets the
/// answer.
async fn run(
    core: &Handle,
    request: ServeRequest,
    claim: Claim,
    guard: StreamGuard,
) -> Result<Response, Refusal> {
    let core = core.clone();
    let work = task::spawn(async move {
        let outcome = run_attempt(&core, &request, &guard).await;
        let result = match &outcome {
            Ok(answer) => ClaimResult::Answered(answer.clone()),
            Err(refusal) if refusal.ran == Ran::NotRun => ClaimResult::NotRun,
            Err(_) => ClaimResult::Unknown,
        };
        settle(&core, &claim, result).await;
        outcome
    });
    work.await.map(|answer| replay(&answer))
}

async fn run_attempt(
    core: &Handle,
    request: &ServeRequest,
    guard: &StreamGuard,
) -> Result<StoredAnswer, Refusal> {
    let head = entry::attempt(core, request, guard).await?;
    collect(core, head).await
}

async fn collect(core: &Handle, mut head: AnswerHead) -> Result<StoredAnswer, Refusal> {
    let mut body = BodyBuffer::within(MAX_ANSWER_BYTES, &core.gateway.buffers);
    loop {
        match head.stream.next().await {
            Ok(ServePart::Chunk(bytes)) => body.push(&bytes).map_err(|error| {
                log::warn!("the answer of a claimed request is not stored: {error}");
                unknown()
            })?,
            Ok(ServePart::End { .. }) => break,
            Ok(ServePart::Failed(refusal)) => return Err(refusal.with_ran(Ran::Unknown)),
            Ok(ServePart::Head { .. } | ServePart::Detoured(_)) | Err(_) => return Err(unknown()),
        }
    }
    Ok(StoredAnswer {
        status: head.status,
        headers: head.headers,
        body: body.take(),
    })
}

/// Releases a claim whose reply was lost. The same attempt claims again first, so that the first
/// proposal, if it is still in flight, has no effect when it is applied later.
async fn release(core: Handle, claim: Claim) {
    for _ in 0..RELEASE_TRIES {
        task::sleep(SETTLE_DELAY).await;
        match propose_step(&core, ClaimStep::Claim(claim.clone())).await {
            Ok(ClaimReply::Granted) => return settle(&core, &claim, ClaimResult::NotRun).await,
            Ok(_) => return,
            Err(_) => (),
        }
    }
}

async fn settle(core: &Handle, claim: &Claim, result: ClaimResult) {
    let settlement = ClaimStep::Settle {
        key: claim.key.clone(),
        attempt: claim.attempt.clone(),
        result,
    };
    for _ in 0..SETTLE_TRIES {
        if propose_step(core, settlement.clone()).await.is_ok() {
            return;
        }
        task::sleep(SETTLE_DELAY).await;
    }
    log::warn!("the result of a claimed request was not recorded; resends get `unknown`");
}

async fn propose_step(core: &Handle, step: ClaimStep) -> Result<ClaimReply, CommandError> {
    let batch = ClaimBatch { steps: vec![step] };
    let applied = core.propose_own::<ClaimsTable>(&batch).await?;
    let reply = applied.reply.replies.into_iter().next();
    Ok(reply.unwrap_or(ClaimReply::Ignored))
}

fn replay(answer: &StoredAnswer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(answer.body.clone());
    for header in &answer.headers {
        response.insert_header(header.name.as_str(), header.value.as_str());
    }
    response
}

fn refuse(reply: &ClaimReply) -> Refusal {
    let conflict =
        |message: &str, remedy: &str| Refusal::not_run(RefusalCode::Conflict, message, remedy);
    match reply {
        ClaimReply::Running { until } => {
            let wait = Millis(until.0.saturating_sub(clock::wall_now().0));
            conflict(
                "a request with this id is running",
                "ask again for its answer",
            )
            .with_ran(Ran::Unknown)
            .with_retry_after(wait)
        }
        ClaimReply::NotKept { status } => Refusal::not_run(
            RefusalCode::OutcomeUnknown,
            &format!("it ran and answered {status}; the body was too large to keep"),
            "look the result up at the service; do not send it under a new id",
        )
        .with_ran(Ran::Ran),
        ClaimReply::Conflict => conflict(
            "this id names another request",
            "use a new id for a new request",
        ),
        ClaimReply::Expired { oldest } => expired(*oldest),
        ClaimReply::TooNew => bad_id("its creation time lies ahead of ours"),
        ClaimReply::Full { free_at } => {
            let wait = Millis(free_at.0.saturating_sub(clock::wall_now().0));
            Refusal::not_run(
                RefusalCode::LimitExceeded,
                "too many ids are remembered",
                "come back later",
            )
            .with_retry_after(wait)
        }
        _ => unknown(),
    }
}

fn expired(oldest: WallMillis) -> Refusal {
    Refusal::not_run(
        RefusalCode::OutcomeUnknown,
        &format!(
            "the id is older than the retention (oldest accepted: {} ms)",
            oldest.0
        ),
        "look the result up at the service; this call ran nothing",
    )
    .with_ran(Ran::Unknown)
}

fn bad_id(message: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::BadRequest,
        message,
        "send Idempotency-Key: UNIX_SECONDS-UNIQUE, the same on every resend",
    )
}

/// Refusal of a request whose claim may have been recorded. Nothing was sent to an upstream.
fn no_quorum() -> Refusal {
    Refusal::not_run(
        RefusalCode::NoQuorum,
        "the request could not be claimed",
        "send it again with the same id",
    )
    .with_retry_after(Millis::from_secs(1))
}

fn unknown() -> Refusal {
    Refusal::not_run(
        RefusalCode::OutcomeUnknown,
        "the request may have run; its answer is lost",
        "look the result up at the service; do not send it under a new id",
    )
    .with_ran(Ran::Unknown)
}
