//! Commands on keys of callers.

mod grant;
mod list;
mod withdraw;

pub use grant::Grant;
pub use list::List;
pub use withdraw::Withdraw;
