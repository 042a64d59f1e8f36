//! HTTP client: pooled connections with one request at a time on each; answers are verified up to
//! their end.

mod error;
mod exchange;
mod links;
mod peer;
mod pool;
mod request;
mod send;

pub use error::Cause;
pub use error::SendError;
pub use exchange::Exchange;
pub use links::Links;
pub use peer::AnyPeer;
pub use peer::Peer;
pub use request::request;
pub use request::request_for;
pub use send::Client;
pub use send::ClientOptions;
pub use send::SendOptions;
