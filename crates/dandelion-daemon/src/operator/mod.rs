//! Implementation of the operators' procedures.

mod cell;
mod changes;
mod fleet;
mod jobs;
mod lists;
mod server;
mod usage;

pub use changes::local_propagation;
pub use server::OperatorServer;
