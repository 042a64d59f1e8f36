//! The scenarios, and the modules that several of them share.

pub mod bill;
pub mod billing;
pub mod charge;
pub mod drain;
pub mod issuer;
pub mod once;
pub mod overhead;
pub mod path;
pub mod platform_hand;
pub mod poison;
pub mod races;
pub mod rollout;
pub mod silent;
pub mod slope;
pub mod spot;
pub mod spread;
pub mod takeover;
pub mod withdraw;
