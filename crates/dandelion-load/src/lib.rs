//! Load tool: scenarios that run daemon processes or models under load and faults, and report what
//! they measured.

pub mod capacity;
pub mod checks;
pub mod cluster;
pub mod fit;
pub mod options;
pub mod registry;
pub mod scenarios;
