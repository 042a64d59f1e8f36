//! A raw-socket HTTP server that follows a script and so can break every rule.

mod script;
mod server;

pub use script::Step;
pub use script::chunked;
pub use script::counted;
pub use script::with_id;
pub use server::RawServer;
