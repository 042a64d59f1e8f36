//! Keeps contents that end upstreams from ending further ones, whichever entry their copies reach.
//!
//! A content under which an upstream ended is recorded in the replicated table before its caller
//! gets an answer. From then on each run is a trial, of which the table grants one at a time, so
//! that an entry that knows nothing else of the content can't exceed the bound.

mod admission;
mod recorder;
mod run;
mod state;

pub use admission::Denied;
pub use admission::Held;
pub use admission::Permit;
pub use admission::Standing;
pub use recorder::RECORDERS;
pub use run::ContentRun;
pub use state::Quarantine;
