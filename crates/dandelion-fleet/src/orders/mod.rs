//! Orders to the platform: their replicated table, and the issuer that sends them.

pub mod issuer;
pub mod table;

pub use issuer::IssuerAction;
pub use issuer::IssuerEvent;
pub use issuer::OrderIssuer;
pub use issuer::OrderTask;
pub use table::FleetLimits;
pub use table::OrderCommand;
pub use table::OrderOutcome;
pub use table::OrderRecord;
pub use table::OrderReply;
pub use table::OrderStage;
pub use table::OrdersTable;
