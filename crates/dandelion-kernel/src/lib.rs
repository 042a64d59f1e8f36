//! Host of the deterministic parts: replicated tables and event-driven machines.
//!
//! Nothing in here or in what it hosts reads a clock, a socket, a file or a random source.
//! Tables register themselves in [`TABLES`]; the daemon links a table's package and the table
//! is part of the replicated state.

pub mod machine;
pub mod requests;
pub mod table;
pub mod table_set;

pub use machine::Machine;
pub use table::ApplyContext;
pub use table::TABLES;
pub use table::Table;
pub use table::TableEntry;
pub use table_set::TableSet;
