//! Deterministic simulation of a job: coordinators, ledger, engines and trainer.

pub mod checks;
pub mod driver;
pub mod engine;
pub mod faults;
pub mod simulation;
pub mod trainer;

pub use faults::Faults;
#[allow(
    unused_imports,
    reason = "each user of the module uses only a part of it"
)]
pub use faults::Mutation;
pub use simulation::Scenario;
pub use simulation::Simulation;
