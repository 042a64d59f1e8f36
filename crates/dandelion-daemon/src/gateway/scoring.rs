//! Sends the requests that score the outputs of batch items.
//!
//! They pass the same checks as the requests of callers: quarantine, limits of upstreams, lease and
//! view at the write.

use std::time::Duration;
use std::time::Instant;

use dandelion_batch::scoring::Outcome;
use dandelion_platform::headers;
use dandelion_platform::headers::CallerHeaders;
use dandelion_protocol::batch::ScoringRequest;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::plan::RouteRule;
use dandelion_protocol::time::Millis;
use dandelion_route::ticket::Fingerprint;
use http_types::Response;

use crate::core::Handle;
use crate::gateway::answer::RETRY_DELAY;
use crate::gateway::forward::Attempt;
use crate::gateway::forward::Call;

const METHOD: &str = "POST";

/// Statuses by which an upstream says that it did not run the request.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Status by which the service says that the request failed.
const FAILED: u16 = 500;

/// Sends a scoring request to an upstream of its route while this daemon leads the store group in
/// `term`.
pub async fn send_scoring(
    core: &Handle,
    request: &ScoringRequest,
    avoid: &[UpstreamId],
    timeout: Millis,
    term: Term,
) -> Outcome {
    let view = core.control.view();
    let plan = view.plan.as_ref();
    let Some(route) = plan.and_then(|plan| plan.route(&request.host, &request.path)) else {
        return Outcome::Withheld(RETRY_DELAY);
    };
    let route = RouteRule {
        // Whatever its route says, a scoring request may run more than once.
        kind: RouteKind::Idempotent,
        ..route.clone()
    };
    let caller = CallerHeaders {
        host: request.host.clone(),
        ..CallerHeaders::default()
    };
    let host = request.host.to_ascii_lowercase();
    let timeout = Duration::from_millis(timeout.min(route.timeout).0);
    let call = Call {
        core,
        route: &route,
        team: None,
        id: &request.id,
        caller: &caller,
        host: &request.host,
        method: METHOD.to_owned(),
        target: request.path.clone(),
        headers: vec![headers::header(headers::ATTEMPT, &request.id)],
        body: request.body.clone().into(),
        content: Fingerprint::of(None, &host, METHOD, &request.path, [&*request.body]),
        deadline: Instant::now() + timeout,
        stream: None,
        term: Some(term),
    };
    call.score(avoid).await
}

impl Call<'_> {
    async fn score(&self, avoid: &[UpstreamId]) -> Outcome {
        let placed = match self.place(avoid).await {
            Ok(placed) => placed,
            Err(held) => return Outcome::Withheld(held.map_or(Millis::ZERO, |held| held.retry)),
        };
        let upstream = placed.upstream.id.clone();
        let started = Instant::now();
        match self.attempt(placed).await {
            Attempt::Answer(response) => {
                let took = Millis(started.elapsed().as_millis() as u64);
                scored(&response, upstream, took)
            }
            Attempt::NotRun(_) => Outcome::Full(upstream),
            Attempt::Failed(Some(response)) if response.status() == FAILED => {
                Outcome::Failed(upstream)
            }
            Attempt::Failed(_) => Outcome::Broken(upstream),
        }
    }
}

/// Returns the outcome of a whole answer below status 500.
fn scored(response: &Response, upstream: UpstreamId, took: Millis) -> Outcome {
    let status = u16::from(response.status());
    let score = response
        .header(headers::SEAL)
        .map(|v| v.as_str().to_owned());
    match score {
        Some(score) if (200..300).contains(&status) => Outcome::Scored { score, took },
        _ if NOT_RUN.contains(&status) => Outcome::Full(upstream),
        _ => Outcome::Rejected(upstream),
    }
}
