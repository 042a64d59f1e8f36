//! Schedules the items of open jobs on engines, and makes engines load the weight versions that
//! trainers name.

pub mod engine;
pub mod event;
pub mod job;
pub mod machine;
pub mod permits;
pub mod placement;
pub mod weight_loads;

pub use engine::Engine;
pub use event::Action;
pub use event::Event;
pub use event::KeptOutput;
pub use event::OrderOutcome;
pub use event::RunId;
pub use event::RunOutcome;
pub use event::Speed;
pub use job::Item;
pub use job::Job;
pub use machine::Scheduler;
pub use permits::Permits;
