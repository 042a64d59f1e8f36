//! Output as plain text or as JSON.

mod form;
mod show;
mod tables;

pub use form::OutputFormat;
pub use form::render;
pub use show::Grid;
pub use show::Show;
