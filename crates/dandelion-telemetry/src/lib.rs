//! Numbered events, logs and metrics for the operators of the daemons.

pub mod events;
pub mod logging;
pub mod metrics;

#[doc(hidden)]
pub use log;

pub use events::Event;
pub use metrics::Metrics;
