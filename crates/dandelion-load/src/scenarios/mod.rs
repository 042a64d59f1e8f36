//! The scenarios, and the modules that several of them share.

pub mod bill;
pub mod billing;
pub mod drain;
pub mod issuer;
pub mod leadership;
pub mod leaving;
pub mod limits;
pub mod once;
pub mod order_executor;
pub mod overhead;
pub mod path;
pub mod poison;
pub mod quarantine;
pub mod races;
pub mod rollout;
pub mod score;
pub mod silent;
pub mod slope;
pub mod software;
pub mod spoiled;
pub mod spot;
pub mod spread;
pub mod stopping;
pub mod stranded;
pub mod takeover;
pub mod withdraw;
