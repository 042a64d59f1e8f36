//! Commands on usage windows.

mod explain;
mod show;

pub use explain::Explain;
pub use show::Show;
