//! HTTP server: runs the requests of a connection one after the other, refuses invalid ones itself,
//! drops the work for callers that disconnect, and drains before a shutdown.

mod connection;
mod incoming;
mod listener;
mod reply;

pub use listener::Handler;
pub use listener::Limits;
pub use listener::Server;
pub use reply::json;
pub use reply::refusal;
pub use reply::streamed;
