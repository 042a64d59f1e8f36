//! Replicated tables that this package registers.

pub mod barrier;
pub mod config;
pub mod history;
pub mod lives;
pub mod members;
pub mod plan;
pub mod stores;
pub mod validate;
pub mod versions;

pub use barrier::BarrierTable;
pub use config::ConfigTable;
pub use history::Change;
pub use history::History;
pub use lives::UpstreamsCommand;
pub use lives::UpstreamsTable;
pub use members::MembersTable;
pub use plan::PlanTable;
pub use plan::ReplacePlan;
pub use stores::StoresCommand;
pub use stores::StoresTable;
pub use versions::NameVersion;
pub use versions::VersionsTable;
