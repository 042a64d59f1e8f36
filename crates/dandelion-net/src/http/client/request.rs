//! Builds requests to upstreams.

use std::net::SocketAddr;
use std::str::FromStr;

use dandelion_protocol::mesh::Header;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;

use crate::http::client::error::Cause;
use crate::http::head::is_hop_header;
use crate::http::head::is_valid_header;
use crate::http::raw_target;
use crate::http::shared_body::SharedBody;

/// Makes a request from its parts without sending it. Hop-by-hop headers and headers with control
/// characters are refused.
pub fn request<B>(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[Header],
    body: B,
) -> Result<Request, Cause>
where
    B: Into<SharedBody>,
{
    request_for(&address.to_string(), method, path, headers, body)
}

/// Makes a request like [`request`] with `host` as its host, whatever address it is sent to.
pub fn request_for<B>(
    host: &str,
    method: &str,
    path: &str,
    headers: &[Header],
    body: B,
) -> Result<Request, Cause>
where
    B: Into<SharedBody>,
{
    let invalid = |error: http_types::Error| Cause::Request(error.to_string());
    let method = Method::from_str(method).map_err(invalid)?;
    let url = Url::parse(&format!("http://{host}{path}"))
        .map_err(|error| Cause::Request(error.to_string()))?;
    let mut request = Request::new(method, url);
    body.into().attach(&mut request);
    raw_target::keep(&mut request, path);
    for (at, header) in headers.iter().enumerate() {
        check_header(&header.name, &header.value)?;
        let name = HeaderName::from_str(&header.name).map_err(invalid)?;
        let value = HeaderValue::from_str(&header.value).map_err(invalid)?;
        let is_first = !headers[..at].iter().any(|h| h.name == header.name);
        if is_first {
            // Also replaces what the body or the URL has set.
            request.insert_header(name, value);
        } else {
            request.append_header(name, value);
        }
    }
    Ok(request)
}

fn check_header(name: &str, value: &str) -> Result<(), Cause> {
    if !is_valid_header(name, value) {
        return Err(Cause::Request(format!("header `{name}` is malformed")));
    }
    if is_hop_header(name) {
        return Err(Cause::Request(format!(
            "header `{name}` can't be passed on"
        )));
    }
    Ok(())
}
