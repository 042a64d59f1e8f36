//! The scenarios, one a file.

pub mod drain;
pub mod once;
pub mod overhead;
pub mod path;
pub mod poison;
pub mod rollout;
pub mod silent;
pub mod spot;
