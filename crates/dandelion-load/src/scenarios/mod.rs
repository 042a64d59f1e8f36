//! The scenarios, one a file.

pub mod spot;
