//! A model engine: streams deterministic tokens, batches, swaps versions, crashes on order.

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
pub use state::SeenOrder;
