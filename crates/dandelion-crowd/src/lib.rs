//! Crowds of clients that hold a daemon's memory, and the daemon process under test.

pub mod clients;
pub mod daemon;
pub mod limits;
pub mod trial;

pub use clients::Crowd;
pub use daemon::Target;
pub use trial::assert_bounded;
