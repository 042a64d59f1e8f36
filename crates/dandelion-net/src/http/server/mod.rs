//! HTTP server: one request after the other on each connection, refusals by the server itself,
//! answers that are dropped when the caller goes, and drains.

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
