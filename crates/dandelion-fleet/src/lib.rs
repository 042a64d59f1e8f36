//! Orders for upstreams, which have to be paid for, and accounting of the usage that is billed.

pub mod orders;
pub mod plan;
pub mod turns;
pub mod usage;
