//! The scenarios, one a file.

pub mod path;
pub mod rollout;
pub mod spot;
