//! Daemons as child processes of the load tool, clients for them, and measurements of them.

mod daemons;
mod disk;
mod gauges;
mod http;
mod idle;
pub mod links;
mod operator;
pub mod plan;
mod process;
pub mod setup;

pub use daemons::Cluster;
pub use daemons::ClusterConfig;
pub use daemons::DAEMON_ARGUMENT;
pub use disk::DiskProbe;
pub use gauges::Gauges;
pub use http::Answer;
pub use http::Caller;
pub use idle::ControlRole;
pub use idle::IdleCost;
pub use idle::measure_idle;
pub use operator::CellOperator;
pub use process::ProcessCost;
pub use process::peak_memory;
