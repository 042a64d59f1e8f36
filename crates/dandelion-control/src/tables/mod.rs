//! Replicated tables of this package.

pub mod config;
pub mod history;
pub mod members;
pub mod validate;

pub use config::ConfigTable;
pub use history::Change;
pub use history::History;
pub use members::MembersTable;
