//! Duties of the control leader: orders of upstreams, weight versions of engines and usage reports.
//! The leader lease is checked immediately before each order or report is sent.

mod fleet;
mod inventory;
mod orders;
mod platform;
mod usage;
mod view;
mod weights;

pub use fleet::run_fleet_duty;
pub use inventory::run_inventory;
pub use usage::run_usage_duty;
pub use view::FleetView;
pub use weights::order_engine;
pub use weights::run_weights_duty;
