//! Fakes of the external systems, for tests and the load tool. Not shipped.

pub mod announce;
pub mod engine;
mod intake;
pub mod plain;
pub mod platform;
pub mod raw;
pub mod relay;
pub mod scorer;
pub mod weights;

pub use intake::ReceivedRequests;
