//! The scenarios, one a file.

pub mod once;
pub mod overhead;
pub mod path;
pub mod rollout;
pub mod spot;
