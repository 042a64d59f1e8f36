//! Schedules the requests that score the complete outputs of items.
//!
//! Answers the load of a step of a trainer: hundreds of outputs become complete within a second, and
//! the service that scores them is a small one that callers wait for as well.

mod priority;
mod queue;
mod share;

pub use priority::GroupProgress;
pub use queue::CallId;
pub use queue::Outcome;
pub use queue::ScoringAction;
pub use queue::ScoringQueue;
pub use share::CallShare;
