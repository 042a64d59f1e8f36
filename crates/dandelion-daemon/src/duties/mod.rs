//! Duties of the control leader towards the platform, each checked against the lease directly
//! before it is carried out.

mod platform;
mod usage;

pub use usage::run_usage_duty;
