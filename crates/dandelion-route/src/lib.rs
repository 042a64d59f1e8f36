//! Routing, admission, fairness, retries, claims and drains, all as deterministic components.
//!
//! Nothing in here reads a clock, a socket, a file or a random source: the caller passes in times
//! and seeded random generators.

pub mod balance;
pub mod claims;
pub mod detours;
pub mod digest;
pub mod entry;
pub mod gate;
pub mod leaving;
pub mod limits;
pub mod origins;
pub mod outcome;
pub mod ownership;
pub mod pick;
pub mod poison;
pub mod queue;
pub mod reach;
pub mod registry;
pub mod retry;
pub mod scrub;
pub mod stop;
pub mod ticket;
pub mod trace;
