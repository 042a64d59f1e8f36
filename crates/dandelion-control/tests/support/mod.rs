//! Simulated control group for the tests.
#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod checks;
pub mod disk;
pub mod group;
pub mod network;
pub mod schedule;
pub mod tally;
pub mod vm;
