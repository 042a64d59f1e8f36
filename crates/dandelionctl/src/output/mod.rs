//! Output as plain text or as JSON.

mod format;
mod show;
mod tables;

pub use format::OutputFormat;
pub use format::render;
pub use show::Grid;
pub use show::Show;
