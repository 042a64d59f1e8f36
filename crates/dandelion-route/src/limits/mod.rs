//! Keeps the requests that an upstream gets within the limit that it names.
//!
//! Meant for upstreams in need, which name the requests a second that they take from all daemons
//! together: from less than one to a few hundred, while many entries and the leader of the batch
//! jobs send to them. A daemon's own count bounds nothing there, and fixed parts of the limit leave
//! most of it unused, so each request needs a permit from one place, the control leader.
//!
//! Upstreams that have just started, or turn cold again, during traffic are taken as limited to what the
//! plan says that they tolerate: they crash above it, within a second.

mod cold;
mod grantor;
mod known;
mod retry;

pub use cold::cold_rate;
pub use cold::is_cold;
pub use grantor::Grantor;
pub use grantor::Load;
pub use known::KnownLimits;
pub use known::Replicated;
pub use retry::retry_delay;
