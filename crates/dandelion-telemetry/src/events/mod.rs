//! Numbered events; a new one is one entry in `catalogue.rs`.

mod catalogue;
mod emit;
mod page;

pub use catalogue::Event;
pub use emit::TARGET;
pub use page::events_page;
