//! Forwards requests of other daemons' callers, for entries that don't reach the upstreams.
//!
//! A request passes the same checks as one of this daemon's own callers: quarantine, limits of
//! upstreams, lease and view at the write. It is tried at one upstream, and never given to a third
//! daemon.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::mesh::PartSender;
use dandelion_net::mesh::StreamGone;
use dandelion_platform::headers::CallerHeaders;
use dandelion_protocol::detour::Decline;
use dandelion_protocol::detour::Detour;
use dandelion_protocol::detour::DetourEnd;
use dandelion_protocol::detour::StreamDetour;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::streams::KeptOrigin;
use dandelion_route::ticket::Fingerprint;
use futures::AsyncReadExt;
use http_types::Response;

use crate::core::Handle;
use crate::gateway::answer::RETRY_DELAY;
use crate::gateway::forward::Attempt;
use crate::gateway::forward::Call;
use crate::gateway::forward::NotRun;
use crate::gateway::gate;
use crate::gateway::streams::StreamPart;

/// Most requests of other daemons' callers that are forwarded at once.
const MAX_FORWARDED: usize = 64;

/// Most bytes of their bodies together.
const MAX_FORWARDED_BYTES: usize = 8 * 1024 * 1024;

/// Most bytes of an answer in one part.
const PART_BYTES: usize = 16 * 1024;

/// Counts the requests of other daemons' callers that this daemon forwards now, and their bytes.
#[derive(Debug, Clone, Default)]
pub struct Forwarding(Arc<Mutex<Forwarded>>);

#[derive(Debug, Default)]
struct Forwarded {
    requests: usize,
    bytes: usize,
}

impl Forwarding {
    fn forwarded(&self) -> MutexGuard<'_, Forwarded> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Returns the number of requests that are being forwarded.
    pub fn count(&self) -> usize {
        self.forwarded().requests
    }

    /// Counts one more request with a body of `bytes` until the guard is dropped; none if there are as
    /// many as allowed. A single request is allowed whatever its length.
    fn enter(&self, bytes: usize) -> Option<ForwardingGuard> {
        let mut forwarded = self.forwarded();
        let is_full = forwarded.requests >= MAX_FORWARDED
            || (forwarded.requests > 0 && forwarded.bytes + bytes > MAX_FORWARDED_BYTES);
        if is_full {
            return None;
        }
        forwarded.requests += 1;
        forwarded.bytes += bytes;
        Some(ForwardingGuard {
            forwarding: self.clone(),
            bytes,
        })
    }
}

/// One request that is being forwarded.
#[derive(Debug)]
struct ForwardingGuard {
    forwarding: Forwarding,
    bytes: usize,
}

impl Drop for ForwardingGuard {
    fn drop(&mut self) {
        let mut forwarded = self.forwarding.forwarded();
        forwarded.requests -= 1;
        forwarded.bytes -= self.bytes;
    }
}

/// Forwards a request in the place of its entry. The answer ends with [`ServePart::Detoured`] if no
/// upstream gave one. Dropping the future cancels the request at the upstream.
pub async fn forward_detoured(
    core: &Handle,
    request: ServeRequest,
    detour: Detour,
    parts: &mut PartSender,
) {
    let _forwarding = match admit(core, &request, &detour) {
        Ok(guard) => guard,
        Err(decline) => return finish(parts, DetourEnd::Declined(decline)).await,
    };
    match Box::pin(forward(core, request, detour)).await {
        Ok((response, upstream)) => {
            // If the entry is gone, nobody needs the rest of the answer.
            let _gone = relay(response, &upstream, parts).await;
        }
        Err(end) => finish(parts, end).await,
    }
}

async fn finish(parts: &mut PartSender, end: DetourEnd) {
    // If the entry is gone, nobody needs to know how the request ended.
    let _gone = parts.send(ServePart::Detoured(end)).await;
}

/// Checks that this daemon can forward a request now.
fn admit(
    core: &Handle,
    request: &ServeRequest,
    detour: &Detour,
) -> Result<ForwardingGuard, Decline> {
    if core.is_stopping() {
        return Err(Decline::Stopping);
    }
    if !gate::is_current(core) {
        return Err(Decline::NoLease);
    }
    if core.gateway.reach().is_lost() {
        return Err(Decline::LinksLost);
    }
    if version(core.control.view().plan.as_deref()) < detour.plan {
        return Err(Decline::Outdated);
    }
    let entered = core.gateway.forwarding.enter(request.body.len());
    entered.ok_or(Decline::Full)
}

fn version(plan: Option<&RoutePlan>) -> u64 {
    plan.map_or(0, |plan| plan.version)
}

/// Tries a request at one upstream; returns its answer, and which one it was.
async fn forward(
    core: &Handle,
    request: ServeRequest,
    detour: Detour,
) -> Result<(Response, UpstreamId), DetourEnd> {
    let deadline = Instant::now() + Duration::from_millis(request.timeout.0);
    let view = core.control.view();
    let plan = view.plan.as_deref();
    let path = request.path.split('?').next().unwrap_or_default();
    let route = plan.and_then(|plan| plan.route(&detour.host, path));
    let route = route.ok_or_else(|| held("no_route"))?;
    let team = request.team.as_ref();
    let has_team = |plan: &RoutePlan| team.is_none_or(|t| plan.teams.iter().any(|p| p.name == *t));
    if !plan.is_some_and(has_team) {
        return Err(held("unknown_key"));
    }
    let host = detour.host.to_ascii_lowercase();
    let caller = CallerHeaders {
        host: detour.host.clone(),
        ..CallerHeaders::default()
    };
    let content = {
        let body = [request.body.as_slice()];
        Fingerprint::of(team, &host, &request.method, &request.path, body)
    };
    let call = Call {
        core,
        route,
        team,
        id: &detour.attempt,
        caller: &caller,
        host: &detour.host,
        method: request.method,
        target: request.path,
        headers: request.headers,
        body: request.body.into(),
        content,
        deadline,
        stream: detour.stream.map(stream_part),
        term: None,
    };
    let placed = match call.place(&detour.tried).await {
        Ok(placed) => placed,
        Err(Some(held)) => {
            return Err(DetourEnd::Held {
                reason: held.reason.to_owned(),
                retry: held.retry,
            });
        }
        Err(None) => return Err(DetourEnd::NoUpstream),
    };
    let upstream = placed.upstream.id.clone();
    match call.attempt(placed).await {
        Attempt::Answer(response) | Attempt::Failed(Some(response)) => Ok((response, upstream)),
        Attempt::Failed(None) => Err(DetourEnd::Failed { upstream }),
        Attempt::NotRun(why) => Err(DetourEnd::NotRun {
            upstream,
            unreached: why == NotRun::Unreached,
            kept: call.kept(),
        }),
    }
}

fn held(reason: &str) -> DetourEnd {
    DetourEnd::Held {
        reason: reason.to_owned(),
        retry: RETRY_DELAY,
    }
}

fn stream_part(stream: StreamDetour) -> StreamPart {
    StreamPart {
        key: stream.key,
        origin: stream.origin,
        kept: Mutex::new(stream.kept),
    }
}

impl Call<'_> {
    /// Returns what the tries so far have made daemons keep as the origin of the stream.
    pub(super) fn kept(&self) -> KeptOrigin {
        let kept = self.stream.as_ref().map(|stream| stream.kept.lock());
        kept.map_or_else(KeptOrigin::default, |kept| {
            kept.expect("no holder of this lock panics").clone()
        })
    }
}

/// Sends an answer to the entry as it arrives.
async fn relay(
    mut response: Response,
    upstream: &UpstreamId,
    parts: &mut PartSender,
) -> Result<(), StreamGone> {
    let head = ServePart::Head {
        status: response.status().into(),
        headers: headers(&response),
        upstream: upstream.to_string(),
    };
    parts.send(head).await?;
    let mut body = response.take_body();
    let mut bytes = vec![0; PART_BYTES];
    loop {
        let part = match body.read(&mut bytes).await {
            Ok(0) => break,
            Ok(count) => ServePart::Chunk(bytes[..count].to_vec()),
            Err(_broken) => ServePart::Failed(broken()),
        };
        let is_last = part.is_last();
        parts.send(part).await?;
        if is_last {
            return Ok(());
        }
    }
    let end = ServePart::End {
        bytes: parts.bytes(),
    };
    parts.send(end).await
}

fn headers(response: &Response) -> Vec<Header> {
    let pairs = response.iter().flat_map(|(name, values)| {
        values.iter().map(move |value| Header {
            name: name.as_str().to_owned(),
            value: value.as_str().to_owned(),
        })
    });
    pairs.collect()
}

fn broken() -> Refusal {
    let refusal = Refusal::not_run(
        RefusalCode::UpstreamFailed,
        "the upstream's answer broke off",
        "send the request again if it may run twice",
    );
    refusal.with_ran(Ran::Unknown)
}
