//! The scenarios, one a file.

pub mod path;
pub mod spot;
