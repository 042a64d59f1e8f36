//! The scenarios, one a file.

pub mod charge;
pub mod path;
pub mod races;
pub mod rollout;
pub mod spot;
pub mod takeover;
pub mod withdraw;
