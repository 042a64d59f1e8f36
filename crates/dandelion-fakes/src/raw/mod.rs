//! A raw-socket HTTP server that plays scripted responses and can violate the protocol.

mod script;
mod server;

pub use script::Step;
pub use script::chunked;
pub use script::with_id;
pub use script::with_length;
pub use server::RawServer;
