//! Commands on upstreams and blocked requests.

mod drain;
mod list;
mod poisoned;
mod unpoison;

pub use drain::Drain;
pub use list::List;
pub use poisoned::Poisoned;
pub use unpoison::Unpoison;
