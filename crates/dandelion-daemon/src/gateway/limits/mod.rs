//! Keeps the requests to upstreams that name a limit, or are cold, within it, over all daemons together.
//!
//! A daemon that learns of a limit from an answer sends to that upstream under permits at once, and
//! records the limit in the replicated table. The control leader grants the permits.

mod cold;
mod leader;
mod observe;
mod state;

pub use cold::is_permitted;
pub use leader::Asked;
pub use leader::ask;
pub use leader::grant;
pub use observe::observe;
pub use state::Limits;
