//! Scrubbing of a whole request.

use dandelion_protocol::mesh::Header;
use thiserror::Error;

use crate::scrub::headers::scrub_headers;
use crate::scrub::patterns::KeyPatterns;
use crate::scrub::patterns::percent_decode;

/// Query parameters that carry credentials; they are dropped whatever they hold.
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

/// The key stands where it cannot be taken out without changing what was asked.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum ScrubError {
    /// In the path.
    #[error("the key stands in the path; send it only in the `Authorization` header")]
    KeyInPath,
    /// In the body.
    #[error("the key stands in the body; send it only in the `Authorization` header")]
    KeyInBody,
}

/// What of a request may be forwarded, besides its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scrubbed {
    /// Path and remaining query.
    pub target: String,
    /// Remaining headers.
    pub headers: Vec<Header>,
}

/// Takes the caller's key out of a request, or refuses the request.
///
/// Trailers are not among the arguments as they are never forwarded.
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

/// Drops the fragment and all parameters that carry credentials or the key.
fn scrub_target(target: &str, key: &KeyPatterns) -> Result<String, ScrubError> {
    let whole = target.split('#').next().unwrap_or_default();
    let (path, query) = whole.split_once('?').unwrap_or((whole, ""));
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
    // A key with `&` in it may have been cut apart above and must not be put together again.
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
