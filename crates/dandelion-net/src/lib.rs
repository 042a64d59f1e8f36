//! Sockets, timers and clocks on `async-std`: HTTP in and out, and the mesh between daemons.

pub mod clock;
pub mod http;
mod lock;
pub mod mesh;
mod progress;
mod signal;
mod socket;

pub use progress::Late;
pub use signal::Signal;
pub use signal::Trigger;
pub use socket::reset_on_close;
