//! Commands: one per file, grouped in folders, registered in `registry`.

pub mod cell;
pub mod control;
pub mod fleet;
pub mod job;
pub mod key;
pub mod registry;
pub mod run;
pub mod service;
pub mod team;
pub mod upstream;
pub mod usage;
pub mod zone;

pub use registry::TopCommand;
pub use run::Run;
