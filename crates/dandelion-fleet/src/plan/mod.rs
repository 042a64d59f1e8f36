//! Plans which upstreams to start and stop, and reconciles orders with announced upstreams.

pub mod demand;
pub mod input;
pub mod planner;
pub mod reason;
pub mod reconcile;
pub mod spread;
pub mod stock;

pub use demand::PeakDemand;
pub use input::Phase;
pub use input::PlanInput;
pub use input::ServiceDemand;
pub use input::UpstreamView;
pub use planner::FleetPlanner;
pub use planner::PlannedChange;
pub use reason::Reason;
pub use reconcile::reconcile;
pub use reconcile::upstream_name;
pub use stock::StockBackoff;
