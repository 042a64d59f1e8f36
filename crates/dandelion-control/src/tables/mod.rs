//! Replicated tables that this package registers.

pub mod barrier;
pub mod cold;
pub mod config;
pub mod history;
pub mod limits;
pub mod members;
pub mod plan;
pub mod quarantine;
pub mod stores;
pub mod upstreams;
pub mod validate;
pub mod versions;
pub mod zones;

pub use barrier::BarrierTable;
pub use cold::cold_incarnations;
pub use config::ConfigTable;
pub use history::Change;
pub use history::History;
pub use limits::LimitsTable;
pub use members::MembersTable;
pub use plan::MAX_PLAN_BYTES;
pub use plan::PlanTable;
pub use plan::ReplacePlan;
pub use quarantine::QuarantineCommand;
pub use quarantine::QuarantineTable;
pub use stores::StoresCommand;
pub use stores::StoresTable;
pub use upstreams::UpstreamsCommand;
pub use upstreams::UpstreamsTable;
pub use upstreams::Warmth;
pub use versions::NameVersion;
pub use versions::VersionsTable;
pub use zones::ZonesCommand;
pub use zones::ZonesReply;
pub use zones::ZonesTable;
