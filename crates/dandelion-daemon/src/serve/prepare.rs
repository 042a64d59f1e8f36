//! Converts a caller's HTTP request to the request for an owner, and that to the upstream's
//! request.

use dandelion_net::http::SharedBody;
use dandelion_protocol::config::Service;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::queue::Arrival;
use dandelion_route::scrub;
use dandelion_route::scrub::KeyPatterns;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::PrefixHash;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;
use http_types::Request;

use crate::serve::answer::REQUEST_ID_HEADER;

/// Header with which a caller shortens the service's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Header between daemons with the fingerprint of the original request of a resumed one. Callers
/// cannot set it, and it is not sent to upstreams.
const ORIGIN_HEADER: &str = "x-origin-fingerprint";

/// Predicted output tokens of a request, since the length of its answer is not known in advance.
const PREDICTED_TOKENS: u64 = 256;

/// Bytes of a request's body that count as one predicted prompt token.
const BYTES_PER_TOKEN: u64 = 4;

/// Prefix of all paths that callers use.
const API_PREFIX: &str = "/v1/";

/// Service and upstream path that a caller's path refers to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Path and query at the upstream.
    pub target: String,
}

/// Parses `/v1/SERVICE/REST?QUERY`.
pub fn route(request: &Request) -> Result<Route, Refusal> {
    let url = request.url();
    let rest = url.path().strip_prefix(API_PREFIX).ok_or_else(no_route)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service.parse().map_err(|_bad_name| no_route())?;
    let target = match url.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok(Route { service, target })
}

/// Refusal of a path that names no service.
pub fn no_route() -> Refusal {
    Refusal::not_run(
        RefusalCode::NotFound,
        "no such route",
        "use /v1/SERVICE/PATH with the name of a configured service",
    )
}

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct Received {
    /// HTTP method.
    pub method: String,
    /// All headers, before scrubbing.
    pub headers: Vec<Header>,
    /// Body, before it is checked for the caller's key.
    pub body: Vec<u8>,
    /// Timeout that the caller requests; none if it sent none or an invalid one.
    pub timeout: Option<Millis>,
}

/// Reads a caller's request with its body.
pub async fn receive(request: &mut Request) -> Result<Received, Refusal> {
    let body = SharedBody::take(request).await.map_err(|error| {
        Refusal::not_run(
            RefusalCode::BadRequest,
            &format!("the body could not be read: {error}"),
            "send the whole body within the limits",
        )
    })?;
    let pairs = request.iter().flat_map(|(name, values)| {
        values.iter().map(move |value| Header {
            name: name.as_str().to_owned(),
            value: value.as_str().to_owned(),
        })
    });
    let timeout = request.header(TIMEOUT_HEADER).map(|v| v.as_str().parse());
    Ok(Received {
        method: request.method().to_string(),
        headers: pairs.collect(),
        body: body.into_bytes(),
        timeout: timeout.and_then(Result::ok).map(Millis),
    })
}

/// Removes the caller's key and makes the request for the owner.
pub fn build(
    id: RequestId,
    team: Option<TeamId>,
    service: &Service,
    route: &Route,
    received: Received,
    secret: Option<&str>,
) -> Result<ServeRequest, Refusal> {
    let patterns = KeyPatterns::of(secret.unwrap_or_default());
    let scrubbed =
        scrub::scrub_request(&route.target, &received.headers, &received.body, &patterns);
    let scrubbed = scrubbed.map_err(|error| {
        Refusal::not_run(
            RefusalCode::BadRequest,
            &error.to_string(),
            "send the key in the authorization header only",
        )
    })?;
    let timeout = received
        .timeout
        .map_or(service.timeout, |t| t.min(service.timeout));
    Ok(ServeRequest {
        id,
        team,
        service: service.id.clone(),
        class: Class::Interactive,
        method: received.method,
        path: scrubbed.target,
        headers: scrubbed.headers,
        body: received.body,
        timeout,
        idempotent: service.idempotent,
        software: SoftwareVersion::default(),
        detour: None,
    })
}

/// Returns the headers for the upstream, with the daemon's own request id.
pub fn upstream_headers(request: &ServeRequest) -> Vec<Header> {
    let others = request
        .headers
        .iter()
        .filter(|h| h.name != REQUEST_ID_HEADER && h.name != ORIGIN_HEADER);
    let mut headers: Vec<Header> = others.cloned().collect();
    headers.push(Header {
        name: REQUEST_ID_HEADER.to_owned(),
        value: format!("{:032x}", request.id.0),
    });
    headers
}

/// Returns the fingerprint of a request, which is the same for its resends and resumptions.
pub fn fingerprint(request: &ServeRequest) -> Fingerprint {
    let origin = request.headers.iter().find(|h| h.name == ORIGIN_HEADER);
    let origin = origin.and_then(|h| u64::from_str_radix(&h.value, 16).ok());
    origin.map_or_else(|| content_fingerprint(request), Fingerprint)
}

fn content_fingerprint(request: &ServeRequest) -> Fingerprint {
    Fingerprint::of(
        request.team.as_ref(),
        request.service.as_str(),
        &request.method,
        &request.path,
        [&*request.body],
    )
}

/// Stores the fingerprint of the original request in a header, before the body is changed.
pub fn set_origin(request: &mut ServeRequest) {
    let origin = fingerprint(request);
    request.headers.retain(|h| h.name != ORIGIN_HEADER);
    request.headers.push(Header {
        name: ORIGIN_HEADER.to_owned(),
        value: format!("{:016x}", origin.0),
    });
}

/// Describes a request for the owner's queue.
pub fn arrival(ticket: Ticket, now: Millis, request: &ServeRequest) -> Arrival {
    let work = Work {
        prompt: request.body.len() as u64 / BYTES_PER_TOKEN,
        output: PREDICTED_TOKENS,
    };
    Arrival {
        ticket,
        team: request.team.clone(),
        class: request.class,
        work,
        deadline: now + request.timeout,
        fingerprint: fingerprint(request),
        prefix: Some(PrefixHash::of(&request.body)),
        resumable: request.class == Class::Rollout,
        software: request.software.clone(),
    }
}
