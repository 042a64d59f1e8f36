//! The request path: entry, queue of the owner, exchange with the upstream, answer to the caller.

mod answer;
mod auth;
mod claim;
mod entry;
mod exchange;
mod meter;
mod owners;
mod prepare;
mod resume;
mod shard;
mod spill;
mod streams;

pub use answer::CallerStream;
pub use auth::Caller;
pub use auth::authenticate;
pub use auth::identify;
pub use auth::presented_secret;
pub use auth::recheck;
pub use entry::Entry;
pub use entry::ingest;
pub use entry::ingest_notes;
pub use entry::open;
pub use entry::serve_caller;
pub use entry::withdrawn;
pub use meter::TokenMeter;
pub use owners::OwnedUpstreams;
pub use resume::Broken;
pub use resume::TokenTracker;
pub use resume::continued_software;
pub use shard::Outbox;
pub use shard::QueueDecision;
pub use shard::Shard;
pub use spill::serve_peer;
pub use streams::OpenStreams;
pub use streams::StreamGuard;
