//! Commands on rollout jobs.

mod end;
mod list;
mod put;
mod show;

pub use end::End;
pub use list::List;
pub use put::Put;
pub use show::Show;
