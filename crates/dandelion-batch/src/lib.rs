//! Batch jobs: what is kept of them, and where and when their items run.
//!
//! [`table`] is replicated among the daemons with storage. [`scheduler`] is a plain state machine
//! that the leader of that group drives.

pub mod scheduler;
pub mod table;

pub use scheduler::Scheduler;
pub use table::BatchTable;
