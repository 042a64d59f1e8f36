//! Rollout jobs: groups, staleness, attribution, the sample ledger and weight plans.
//!
//! Everything here is a deterministic state machine or a replicated table.

pub mod attribution;
pub mod budget;
pub mod coordinator;
pub mod ledger;
pub mod payload;
pub mod quantile;
pub mod scorer;
pub mod staleness;
pub mod weights;

pub use coordinator::Coordinator;
pub use ledger::LedgerTable;
