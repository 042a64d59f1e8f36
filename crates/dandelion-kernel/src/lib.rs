//! Framework of the deterministic parts: replicated tables and event-driven state machines.
//!
//! Neither this crate nor a table or machine built on it reads a clock, a socket, a file or a
//! random source. A crate registers its tables in [`TABLES`] at link time: every table that is
//! linked into the daemon is part of the replicated state.

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
