//! Answers of the gateway's own.

use dandelion_net::http::is_hop_header;
use dandelion_platform::headers;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::time::Millis;
use http_types::Body;
use http_types::Response;
use http_types::StatusCode;

/// Time after which a caller may come back when nothing better is known: an upstream that was
/// full has usually finished a request by then.
pub const COME_BACK: Millis = Millis(150);

/// Time after which a caller may come back when this daemon has no lease: the next daemon that it
/// reaches probably has one.
pub const NO_LEASE: Millis = Millis(50);

/// Header that the server sets itself.
const DATE: &str = "date";

/// Refuses a request that has not run and will not run.
pub fn not_run(retry: Millis) -> Response {
    let mut response = Response::new(503);
    response.insert_header(headers::RETRY_AFTER, headers::retry_after(retry));
    response
}

/// Answers with a status alone.
pub fn status(status: u16) -> Response {
    Response::new(code(status))
}

/// Answers with JSON bytes.
pub fn json(status: u16, bytes: Vec<u8>) -> Response {
    let mut response = Response::new(code(status));
    response.set_body(Body::from_bytes(bytes));
    response.insert_header("content-type", "application/json");
    response
}

/// Passes an upstream's answer on.
pub fn passed(status: u16, headers: &[Header], body: Body) -> Response {
    let mut response = Response::new(code(status));
    response.set_body(body);
    for header in headers {
        if !is_hop_header(&header.name) && header.name != DATE {
            response.insert_header(header.name.as_str(), header.value.as_str());
        }
    }
    response
}

fn code(status: u16) -> StatusCode {
    StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway)
}
