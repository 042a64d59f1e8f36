//! Helpers shared by the tests.

pub mod fixtures;
