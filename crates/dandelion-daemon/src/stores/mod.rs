//! The group of daemons that stores batch jobs, and the work of its leader.

mod group;
mod health;
mod listings;
mod orders;
mod partials;
mod run;
mod runner;
mod service;
mod texts;

pub use group::StoreEvent;
pub use group::Stores;
pub use group::run_group;
pub use health::run_health;
pub use listings::Listings;
pub use listings::Subscription;
pub use run::Output;
pub use run::OutputTooLong;
pub use runner::run_jobs;
pub use service::answer;
pub use texts::answer_texts;
pub use texts::read_results;
pub use texts::run_repair;
