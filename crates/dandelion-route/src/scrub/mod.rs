//! Removes callers' keys from requests before they reach an upstream.

pub mod headers;
pub mod patterns;
pub mod request;

pub use headers::scrub_answer;
pub use headers::scrub_headers;
pub use patterns::KeyPatterns;
pub use request::ScrubError;
pub use request::Scrubbed;
pub use request::scrub_request;
