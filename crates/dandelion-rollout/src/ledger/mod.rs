//! The replicated ledger of the rollout jobs, by which every sample is delivered exactly once.

pub mod command;
pub mod job;
pub mod ranges;
pub mod table;

pub use command::BatchRecord;
pub use command::CursorState;
pub use command::FeedRecord;
pub use command::JobView;
pub use command::LedgerChange;
pub use command::LedgerCommand;
pub use command::LedgerRefusal;
pub use command::LedgerReply;
pub use job::JobLedger;
pub use ranges::RangeSet;
pub use table::LedgerTable;
