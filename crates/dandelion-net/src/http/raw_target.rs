//! The target of a request, byte for byte as its sender wrote it.
//!
//! The URL type normalizes paths and queries (dot segments, apostrophes, percent-encodings), which an
//! upstream must not see.

use http_types::Request;

#[derive(Debug, Clone)]
struct Target(String);

/// Returns whether a target is a path with visible ASCII characters only, and so can be sent on
/// unchanged.
pub(super) fn is_plain(target: &str) -> bool {
    target.starts_with('/') && target.bytes().all(|b| b.is_ascii_graphic())
}

/// Keeps the target that a request has on the wire.
pub(super) fn keep(request: &mut Request, target: &str) {
    if is_plain(target) {
        request.ext_mut().insert(Target(target.to_owned()));
    }
}

/// Returns the target in the first line of a request's head.
pub(super) fn of_head(head: &[u8]) -> Option<&str> {
    let line = head.split(|b| *b == b'\r').next()?;
    std::str::from_utf8(line).ok()?.split(' ').nth(1)
}

/// Returns the path and query of a request as they were sent; as its URL has them if it was not
/// received or has another form.
pub fn target(request: &Request) -> String {
    if let Some(Target(target)) = request.ext().get::<Target>() {
        return target.clone();
    }
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}
