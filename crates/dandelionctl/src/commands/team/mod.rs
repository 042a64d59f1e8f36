//! Commands on teams.

mod list;
mod put;
mod remove;

pub use list::List;
pub use put::Put;
pub use remove::Remove;
