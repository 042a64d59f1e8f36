//! Sockets, timers and clocks on `async-std`: HTTP client and server, and the mesh between daemons.

pub mod clock;
pub mod http;
mod lock;
pub mod mesh;
mod signal;
mod socket;
mod step_timer;

pub use signal::Signal;
pub use signal::Trigger;
pub use socket::reset_on_close;
pub use step_timer::StepTimeout;
