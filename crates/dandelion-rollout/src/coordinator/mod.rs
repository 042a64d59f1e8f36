//! The coordinator of one job: dispatch, stragglers, scoring, batches.

pub mod action;
pub mod answer_body;
pub mod counts;
pub mod deliver;
pub mod dispatch;
pub mod event;
pub mod feed;
pub mod generation;
pub mod lookahead;
pub mod machine;
pub mod pool;
pub mod proposals;
pub mod pull;
pub mod scoring;
pub mod settings;
pub mod tail;

pub use action::Action;
pub use action::Answer;
pub use counts::RolloutCounts;
pub use event::AttemptId;
pub use event::Event;
pub use event::Failure;
pub use event::ProposalId;
pub use event::Ticket;
pub use machine::Coordinator;
pub use settings::Settings;
