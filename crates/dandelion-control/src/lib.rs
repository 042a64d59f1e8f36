//! Replicated control state of one cell: log, storage, leader lease, feed, configuration, keys
//! and membership.
//!
//! Everything except [`storage::FileStorage`] is deterministic and free of I/O: times, random seeds
//! and messages are passed in.

pub mod feed;
pub mod keys;
pub mod node;
pub mod raft;
pub mod report_forwards;
pub mod storage;
pub mod tables;
pub mod timing;

pub use feed::FeedClient;
pub use node::ControlNode;
pub use storage::FileStorage;
pub use timing::Timing;
