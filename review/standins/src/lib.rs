//! Stand-ins for the scripts of the independent review: a small deployment of the project's own
//! daemons, started by the commands of the deploy file, and what they speak with.

pub mod cell;
pub mod http;
pub mod record;
pub mod upstream;
