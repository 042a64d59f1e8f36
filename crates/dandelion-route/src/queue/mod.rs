//! The owner's queue of one service: admission, fairness, dispatch, preemption and isolation.

pub mod admission;
mod arrive;
mod dispatch;
pub mod event;
mod finish;
pub mod isolation;
pub mod machine;
pub mod settings;
pub mod team;
pub mod teams;

pub use event::Action;
pub use event::Arrival;
pub use event::Finish;
pub use event::QueueEvent;
pub use machine::OwnerQueue;
pub use settings::QueueSettings;
