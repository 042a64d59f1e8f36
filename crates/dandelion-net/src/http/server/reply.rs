//! Builds answers, and removes unsafe headers from those of handlers.

use dandelion_protocol::outcome::Refusal;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;
use http_types::headers::CONTENT_TYPE;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValues;
use http_types::headers::RETRY_AFTER;
use serde::Serialize;

use crate::http::head::is_hop_header;
use crate::http::head::is_valid_header;

/// Makes an answer with `value` as its JSON body.
pub fn json<T>(status: u16, value: &T) -> Response
where
    T: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(bytes) => buffered(status, "application/json", bytes),
        Err(error) => buffered(500, "text/plain", error.to_string().into_bytes()),
    }
}

/// Makes the answer that carries `refusal`, with the status of its code.
pub fn refusal(refusal: &Refusal) -> Response {
    refusal_with(refusal.status(), refusal)
}

/// Makes the answer that carries `refusal`, with a status of the caller's choice.
pub(super) fn refusal_with(status: u16, refusal: &Refusal) -> Response {
    let mut response = json(status, refusal);
    if let Some(after) = refusal.retry_after {
        // `Retry-After` is in seconds; rounded up, so that nobody retries too early.
        response.insert_header(RETRY_AFTER, after.0.div_ceil(1000).to_string());
    }
    response
}

/// Makes an answer whose body is streamed in chunks.
pub fn streamed(status: u16, content_type: &str, body: Body) -> Response {
    let mut response = Response::new(status_code(status));
    response.set_body(body);
    response.insert_header(CONTENT_TYPE, content_type);
    response
}

/// Removes headers that would break the framing of the answer or inject another answer.
pub(super) fn sanitize_headers(response: &mut Response) {
    let invalid = |(name, values): (&HeaderName, &HeaderValues)| {
        let framing = is_hop_header(name.as_str()) && *name != CONNECTION;
        let valid = values
            .iter()
            .all(|v| is_valid_header(name.as_str(), v.as_str()));
        (framing || !valid).then(|| name.clone())
    };
    let invalid: Vec<HeaderName> = response.iter().filter_map(invalid).collect();
    for name in invalid {
        log::warn!("removed header `{name}` from an answer: it would break its framing");
        response.remove_header(name);
    }
}

fn buffered(status: u16, content_type: &str, bytes: Vec<u8>) -> Response {
    streamed(status, content_type, Body::from_bytes(bytes))
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway)
}
