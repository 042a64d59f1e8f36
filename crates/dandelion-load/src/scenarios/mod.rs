//! The scenarios, one a file.

pub mod bill;
pub mod billing;
pub mod charge;
pub mod issuer;
pub mod path;
pub mod platform_hand;
pub mod races;
pub mod rollout;
pub mod spot;
pub mod takeover;
pub mod withdraw;
