//! The scenarios, one a file.

pub mod charge;
pub mod path;
pub mod races;
pub mod spot;
pub mod takeover;
pub mod withdraw;
