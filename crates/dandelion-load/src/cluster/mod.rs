//! Daemons as child processes of the load tool, and the clients that talk to them.

mod daemons;
mod http;
mod operator;
pub mod setup;

pub use daemons::Cluster;
pub use daemons::ClusterConfig;
pub use daemons::DAEMON_ARGUMENT;
pub use http::Answer;
pub use http::Caller;
pub use operator::CellOperator;
