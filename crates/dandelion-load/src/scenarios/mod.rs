//! The scenarios, one a file.

pub mod charge;
pub mod once;
pub mod overhead;
pub mod path;
pub mod races;
pub mod rollout;
pub mod slope;
pub mod spot;
pub mod spread;
pub mod takeover;
pub mod withdraw;
