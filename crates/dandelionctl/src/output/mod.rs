//! Output as a table or as JSON.

mod form;
mod show;
mod tables;

pub use form::OutputForm;
pub use form::render;
pub use show::Grid;
pub use show::Show;
