//! Upstream orders and usage reports: what is paid for, and what is billed.

pub mod orders;
pub mod plan;
pub mod usage;
