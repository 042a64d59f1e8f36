//! A control daemon: replica, tables, leader lease, feed and repair of the group.

pub mod apply;
pub mod changes;
pub mod control;
pub mod event;
pub mod feeder;
pub mod feeder_reports;
pub mod feeding;
pub mod images;
pub mod joining;
pub mod recent_changes;
pub mod shortage;
pub mod status;

pub use control::ControlNode;
pub use event::NodeAction;
pub use event::NodeEvent;
pub use event::NodeSettings;
pub use shortage::Shortage;
pub use status::LeaderLease;
pub use status::Propagation;
pub use status::ReplicaStatus;
pub use status::Status;
