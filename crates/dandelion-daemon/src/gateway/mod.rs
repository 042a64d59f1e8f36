//! Traffic under the route plan: requests of callers, probes of the load balancer, and calls of
//! operators, upstreams and trainers to the control daemons.

mod admit;
mod answer;
mod control;
mod detour;
mod detoured;
mod forward;
mod front;
pub mod gate;
mod incarnations;
mod jobs;
mod leaving;
pub mod limits;
pub mod origins;
pub mod peer;
mod place;
mod quarantine;
mod reach;
mod ready;
mod retire;
mod scoring;
mod state;
mod streams;
mod zones;

pub use control::ControlApi;
pub use detoured::forward_detoured;
pub use front::Front;
pub use incarnations::record_report;
pub use incarnations::run_expiry;
pub use leaving::Leaving;
pub use leaving::observe as observe_leaving;
pub use limits::Limits;
pub use origins::Origins;
pub use quarantine::Quarantine;
pub use quarantine::RECORDERS;
pub use ready::Ready;
pub use scoring::send_scoring;
pub use state::ANSWER_BYTES;
pub use state::Gateway;
