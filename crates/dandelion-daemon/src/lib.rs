//! The daemon: settings, request path, duties and the I/O that drives the state machines of the
//! other packages.

pub mod api;
pub mod client_memory;
pub mod control;
pub mod core;
pub mod duties;
pub mod fenced;
pub mod gateway;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod rollouts;
pub mod run;
pub mod serve;
pub mod settings;
pub mod stores;
pub mod usage;
pub mod zone;
