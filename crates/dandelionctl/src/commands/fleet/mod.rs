//! Commands on orders of upstreams.

mod limits;
mod pause;
mod plan;
mod resume;

pub use limits::Limits;
pub use pause::Pause;
pub use plan::Plan;
pub use resume::Resume;
