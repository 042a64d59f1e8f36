//! Metrics in the Prometheus text form, with a bounded number of labels.

mod registry;
mod team;
mod teams;

pub use registry::Metrics;
pub use registry::MetricsError;
pub use team::TeamMetrics;
pub use teams::OTHER_TEAM;
