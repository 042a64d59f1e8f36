//! The HTTP interface for callers, upstreams, trainers, operators and probes.

mod announce;
mod forwarded;
mod operators;
mod probes;
mod router;
mod secrets;

pub use forwarded::forwarded;
pub use router::Api;
