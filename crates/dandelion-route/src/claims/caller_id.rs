//! Ids by which callers identify their non-idempotent requests over resends.

use std::fmt;
use std::str::FromStr;

use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Greatest length of the caller's own part of an id, in bytes.
pub const MAX_FREE_BYTES: usize = 64;

const SECOND_MS: u64 = 1000;

/// A text that is not a valid caller's id.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
#[error(
    "`Idempotency-Key` must be the request's creation time in Unix seconds, `-`, and 1 to {MAX_FREE_BYTES} characters of A-Z, a-z, 0-9, `-`, `_`, `.`; build the id once per request and keep it over resends"
)]
pub struct CallerIdError;

/// A caller's id: its creation time in Unix seconds and a part that the caller chooses.
///
/// An id is refused by its creation time once its record may have expired, so that an id whose
/// request ran is never mistaken for a new one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CallerId {
    secs: u64,
    free: String,
}

impl CallerId {
    /// Returns when the caller created the id, by the caller's clock.
    pub fn created(&self) -> WallMillis {
        WallMillis(self.secs.saturating_mul(SECOND_MS))
    }
}

impl FromStr for CallerId {
    type Err = CallerIdError;

    fn from_str(text: &str) -> Result<Self, CallerIdError> {
        let (secs, free) = text.split_once('-').ok_or(CallerIdError)?;
        let digits = !secs.is_empty() && secs.bytes().all(|b| b.is_ascii_digit());
        let plain = free
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        let sized = !free.is_empty() && free.len() <= MAX_FREE_BYTES;
        let canonical = !secs.starts_with('0');
        if !(digits && plain && sized && canonical) {
            return Err(CallerIdError);
        }
        let Ok(secs) = secs.parse() else {
            return Err(CallerIdError);
        };
        let free = free.to_owned();
        Ok(Self { secs, free })
    }
}

impl TryFrom<String> for CallerId {
    type Error = CallerIdError;

    fn try_from(text: String) -> Result<Self, CallerIdError> {
        text.parse()
    }
}

impl From<CallerId> for String {
    fn from(id: CallerId) -> Self {
        id.to_string()
    }
}

impl fmt::Display for CallerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.secs, self.free)
    }
}
