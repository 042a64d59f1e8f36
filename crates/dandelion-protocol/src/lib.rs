//! Shared identifiers, value types, typed errors and wire messages.
//!
//! Depends on no other package of the workspace.

pub mod batch;
pub mod codec;
pub mod config;
pub mod control;
pub mod detour;
pub mod fleet;
pub mod ids;
pub mod incarnations;
pub mod limits;
pub mod mesh;
pub mod outcome;
pub mod plan;
pub mod quarantine;
pub mod rollout;
pub mod shared_bytes;
pub mod streams;
pub mod time;
pub mod upstream;
pub mod usage;
