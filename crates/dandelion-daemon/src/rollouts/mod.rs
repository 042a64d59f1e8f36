//! Rollout jobs that this daemon coordinates, and the trainers' HTTP interface.

mod driver;
mod generate;
mod jobs;
mod payloads;
mod score;
mod tokens;
mod trainer;

pub use jobs::Rollouts;
pub use jobs::run_rollouts;
pub use payloads::answer as answer_payload;
pub use tokens::TokenReader;
pub use trainer::JOBS_PREFIX;
pub use trainer::forwarded;
pub use trainer::serve_trainer;
