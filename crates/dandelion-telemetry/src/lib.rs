//! What the daemon tells its operators: numbered events, logs and metrics.

pub mod events;
pub mod logging;
pub mod metrics;

#[doc(hidden)]
pub use log;

pub use events::Event;
pub use metrics::Metrics;
