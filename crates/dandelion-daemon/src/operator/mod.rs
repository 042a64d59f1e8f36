//! The operators' procedures as this daemon carries them out.

mod cell;
mod changes;
mod fleet;
mod jobs;
mod lists;
mod server;
mod usage;

pub use changes::spread_here;
pub use server::OperatorServer;
