//! Deterministic simulation of a control group: clocks, network, disks and daemons.
#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod cell;
pub mod checks;
pub mod disk;
pub mod group;
pub mod network;
pub mod schedule;
pub mod tally;
pub mod vm;
