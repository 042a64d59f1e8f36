//! HTTP answers that the gateway makes itself or relays.

use dandelion_net::http::is_hop_header;
use dandelion_platform::headers;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::time::Millis;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;
use http_types::headers::CONNECTION;

/// Delay after which a refused caller may retry, unless a better one is known: an upstream that was
/// full has usually finished a request by then.
pub const RETRY_DELAY: Millis = Millis(150);

/// Delay after which a caller may retry when this daemon has no lease: the next daemon that the
/// caller reaches probably has one.
pub const LEASE_RETRY_DELAY: Millis = Millis(50);

/// Status of an answer by another upstream than the intended one.
pub const MISDIRECTED: u16 = 421;

/// Header that the HTTP server sets itself.
const DATE: &str = "date";

/// Refuses a request that has not run and will not run, with a delay to retry after.
pub fn not_run(retry: Millis) -> Response {
    let mut response = Response::new(503);
    response.insert_header(headers::RETRY_AFTER, headers::retry_after(retry));
    response
}

/// Refuses a request in which a header stands twice that may stand once only.
pub fn repeated_header(name: &str) -> Response {
    let mut response = Response::new(400);
    response.set_body(format!(
        "header {name} stands more than once; send it once\n"
    ));
    response
}

/// Refuses a request that has not run and will not run because this daemon stops; other daemons take
/// it at once.
pub fn stopping() -> Response {
    let mut response = not_run(Millis::ZERO);
    response.insert_header(CONNECTION, "close");
    response
}

/// Refuses to take up a stream that can't go on; coming back is in vain.
pub fn stream_over() -> Response {
    let mut response = Response::new(503);
    response.set_body("the stream can't go on at any upstream; begin it anew\n");
    response
}

/// Answers with a status and no body.
pub fn status(status: u16) -> Response {
    Response::new(code(status))
}

/// Answers with an encoded JSON body.
pub fn json(status: u16, bytes: Vec<u8>) -> Response {
    let mut response = Response::new(code(status));
    response.set_body(Body::from_bytes(bytes));
    response.insert_header("content-type", "application/json");
    response
}

/// Relays an upstream's answer without its hop-by-hop headers; a header in several lines keeps them
/// all, in their order.
pub fn relayed(status: u16, headers: &[Header], body: Body) -> Response {
    let mut response = Response::new(code(status));
    response.set_body(body);
    for (at, header) in headers.iter().enumerate() {
        if is_hop_header(&header.name) || header.name == DATE {
            continue;
        }
        let (name, value) = (header.name.as_str(), header.value.as_str());
        if headers[..at].iter().any(|h| h.name == header.name) {
            response.append_header(name, value);
        } else {
            // Also replaces the type that the body has set.
            response.insert_header(name, value);
        }
    }
    response
}

fn code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway)
}
