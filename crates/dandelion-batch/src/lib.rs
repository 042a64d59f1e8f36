//! Batch jobs: their storage, and the scheduling of their items on engines.
//!
//! [`table`] is replicated among the store daemons. The texts of results, their bodies, are stored
//! outside of it: [`texts`] manages them on one disk, [`holders`] decides which store daemons
//! hold them, and [`store_health`] which of these count as lost. [`scheduler`] and [`scoring`] are state machines that the leader of the store daemons drives.

pub mod holders;
pub mod scheduler;
pub mod scoring;
pub mod store_health;
pub mod table;
pub mod texts;

pub use scheduler::Scheduler;
pub use scoring::ScoringQueue;
pub use store_health::StoreHealth;
pub use table::BatchTable;
pub use texts::TextStore;
