//! Shared parts of the tests.

pub mod fixtures;
