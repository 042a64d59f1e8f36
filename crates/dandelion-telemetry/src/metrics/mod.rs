//! Metrics in the Prometheus text format, with a bounded number of label values.

mod registry;
mod team;
mod teams;

pub use registry::Metrics;
pub use registry::MetricsError;
pub use team::TeamMetrics;
pub use teams::OTHER_TEAM;
