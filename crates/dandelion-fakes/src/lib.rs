//! Fakes of the external systems, for tests and the load tool. Not shipped.

pub mod announce;
pub mod engine;
pub mod plain;
pub mod platform;
pub mod raw;
pub mod relay;
pub mod scorer;
mod support;
pub mod weights;

pub use support::ReceivedRequests;
