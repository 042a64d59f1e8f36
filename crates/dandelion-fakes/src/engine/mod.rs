//! A fake model engine: streams deterministic tokens, batches requests, swaps weight versions and
//! crashes on request.

mod config;
mod generate;
mod handler;
mod prefix;
mod server;
mod state;

pub use config::EngineConfig;
pub use generate::token;
pub use server::Engine;
pub use state::EngineCounts;
pub use state::ReceivedOrder;
