//! Commands on availability zones.

mod evacuate;
mod list;
mod restore;

pub use evacuate::Evacuate;
pub use list::List;
pub use restore::Restore;
