//! The mesh between daemons: authenticated WebSocket connections that carry one CBOR message per
//! frame. A daemon dials each peer that it has messages for; replies return on that connection.

mod auth;
mod backoff;
mod byte_limit;
mod config;
mod counters;
mod credit;
mod error;
mod fault;
mod handler;
mod handshake;
mod link;
mod liveness;
mod node;
mod parts;
mod pending;
mod session;
mod transport;

pub use auth::Secret;
pub use auth::Secrets;
pub use byte_limit::ByteLimit;
pub use byte_limit::HeldBytes;
pub use config::MeshConfig;
pub use config::Timing;
pub use counters::Family;
pub use counters::Traffic;
pub use error::CallError;
pub use error::MeshError;
pub use handler::MeshHandler;
pub use node::Mesh;
pub use parts::PartSender;
pub use parts::ServeStream;
pub use parts::StreamGone;
pub use transport::FRAGMENT;
pub use transport::decode_message;
pub use transport::fragments;
pub use transport::limits;
