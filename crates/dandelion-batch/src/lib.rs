//! Batch jobs: what is kept of them, and where and when their items run.
//!
//! [`table`] is replicated among the daemons with storage, [`texts`] holds the texts of results on
//! one of their disks, [`holders`] tells on which. [`scheduler`] is a plain state machine that the leader
//! of that group drives.

pub mod holders;
pub mod scheduler;
pub mod table;
pub mod texts;

pub use scheduler::Scheduler;
pub use table::BatchTable;
pub use texts::TextStore;
