//! Stand-ins for the outside systems, for tests and the load tool. Not shipped.

pub mod raw;
