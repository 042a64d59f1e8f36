//! Removal of the caller's key from a complete request.

use dandelion_protocol::mesh::Header;
use thiserror::Error;

use crate::scrub::headers::scrub_headers;
use crate::scrub::patterns::KeyPatterns;
use crate::scrub::patterns::percent_decode;

/// Query parameters that carry credentials; they are dropped whatever their value.
pub const CREDENTIAL_PARAMETERS: [&str; 9] = [
    "access_token",
    "api-key",
    "api_key",
    "apikey",
    "auth",
    "authorization",
    "key",
    "secret",
    "token",
];

/// The key is where it cannot be removed without changing the meaning of the request.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum ScrubError {
    /// In the path.
    #[error("the key stands in the path; send it only in the `Authorization` header")]
    KeyInPath,
    /// In the body.
    #[error("the key stands in the body; send it only in the `Authorization` header")]
    KeyInBody,
}

/// The parts of a request that may be forwarded, besides its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scrubbed {
    /// Path and the remaining query parameters.
    pub target: String,
    /// Remaining headers.
    pub headers: Vec<Header>,
}

/// Removes the caller's key from the target and the headers of a request; an error if the path or
/// the body contains it.
///
/// Trailers are not among the arguments, as they are never forwarded.
pub fn scrub_request(
    target: &str,
    headers: &[Header],
    body: &[u8],
    key: &KeyPatterns,
) -> Result<Scrubbed, ScrubError> {
    let target = scrub_target(target, key)?;
    if key.found_in(body) {
        return Err(ScrubError::KeyInBody);
    }
    let headers = scrub_headers(headers, key);
    Ok(Scrubbed { target, headers })
}

/// Drops the fragment and all query parameters that carry credentials or the key.
fn scrub_target(target: &str, key: &KeyPatterns) -> Result<String, ScrubError> {
    let without_fragment = target.split('#').next().unwrap_or_default();
    let (path, query) = without_fragment
        .split_once('?')
        .unwrap_or((without_fragment, ""));
    if key.found_in(path.as_bytes()) {
        return Err(ScrubError::KeyInPath);
    }
    let kept: Vec<&str> = query
        .split('&')
        .filter(|parameter| !parameter.is_empty() && !is_credential(parameter, key))
        .collect();
    let scrubbed = if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{}", kept.join("&"))
    };
    // The split above may have divided a key that contains `&`; joining must not restore it.
    if key.found_in(scrubbed.as_bytes()) {
        return Err(ScrubError::KeyInPath);
    }
    Ok(scrubbed)
}

fn is_credential(parameter: &str, key: &KeyPatterns) -> bool {
    let name = parameter.split('=').next().unwrap_or_default();
    let decoded = percent_decode(name.as_bytes()).to_ascii_lowercase();
    let named = CREDENTIAL_PARAMETERS
        .iter()
        .any(|known| known.as_bytes() == decoded);
    named || key.found_in(parameter.as_bytes())
}
