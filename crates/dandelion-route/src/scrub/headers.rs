//! Allow-lists of headers in both directions.

use dandelion_protocol::mesh::Header;

use crate::scrub::patterns::KeyPatterns;

/// Request headers that are forwarded to an upstream. The sender writes its own framing and
/// connection headers; cookies, credentials and trailers are never forwarded.
pub const REQUEST_HEADERS: [&str; 9] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "content-encoding",
    "content-type",
    "idempotency-key",
    "traceparent",
    "tracestate",
    "x-request-id",
];

/// Answer headers that are forwarded to a caller.
pub const ANSWER_HEADERS: [&str; 10] = [
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "retry-after",
    "vary",
];

/// Returns the request headers that may be forwarded, with names in lower case; a header whose
/// value contains the key is dropped.
pub fn scrub_headers(headers: &[Header], key: &KeyPatterns) -> Vec<Header> {
    let allowed = headers.iter().filter_map(|h| allow(h, &REQUEST_HEADERS));
    allowed
        .filter(|h| !key.found_in(h.value.as_bytes()))
        .collect()
}

/// Returns the answer headers that may be forwarded, with names in lower case.
pub fn scrub_answer(headers: &[Header]) -> Vec<Header> {
    headers
        .iter()
        .filter_map(|h| allow(h, &ANSWER_HEADERS))
        .collect()
}

fn allow(header: &Header, list: &[&str]) -> Option<Header> {
    let name = header.name.to_ascii_lowercase();
    let clean = !header.value.bytes().any(|b| matches!(b, b'\r' | b'\n' | 0));
    let value = header.value.clone();
    (clean && list.contains(&name.as_str())).then_some(Header { name, value })
}
