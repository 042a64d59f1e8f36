//! Implementation of the operators' procedures.

mod cell;
mod changes;
mod fleet;
mod jobs;
mod lists;
mod server;
mod usage;

pub use changes::spread_here;
pub use server::OperatorServer;
