//! Commands on the whole cell.

mod apply;
mod completions;
mod explain;
mod history;
mod status;

pub use apply::Apply;
pub use completions::Completions;
pub use explain::Explain;
pub use history::History;
pub use status::Status;
