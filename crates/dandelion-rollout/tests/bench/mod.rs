//! Small deterministic stand-ins around the coordinator: ledger, engines and trainer.

pub mod checks;
pub mod engine;
pub mod faults;
pub mod shell;
pub mod trainer;
pub mod world;

pub use faults::Faults;
pub use faults::Mutation;
pub use world::Plan;
pub use world::World;
