//! Small deterministic stand-ins around the coordinator: ledger, engines and trainer.

pub mod checks;
pub mod engine;
pub mod faults;
pub mod shell;
pub mod trainer;
pub mod world;

pub use faults::Faults;
#[allow(unused_imports, reason = "each user of the bench takes a part of it")]
pub use faults::Mutation;
pub use world::Plan;
pub use world::World;
