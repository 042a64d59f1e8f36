//! Scenarios that load the system or its models and print what they measured.

pub mod capacity;
pub mod checks;
pub mod cluster;
pub mod fit;
pub mod options;
pub mod registry;
pub mod scenarios;
