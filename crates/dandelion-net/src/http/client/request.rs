//! Builds requests to upstreams.

use std::net::SocketAddr;
use std::str::FromStr;

use dandelion_protocol::mesh::Header;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;

use crate::http::client::error::Cause;

/// Makes a request from plain parts. Nothing is sent.
pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[Header],
    body: Vec<u8>,
) -> Result<Request, Cause> {
    let invalid = |error: http_types::Error| Cause::Request(error.to_string());
    let method = Method::from_str(method).map_err(invalid)?;
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Cause::Request(error.to_string()))?;
    let mut request = Request::new(method, url);
    request.set_body(Body::from_bytes(body));
    for header in headers {
        let name = HeaderName::from_str(&header.name).map_err(invalid)?;
        let value = HeaderValue::from_str(&header.value).map_err(invalid)?;
        request.insert_header(name, value);
    }
    Ok(request)
}
