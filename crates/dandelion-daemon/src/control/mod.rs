//! This daemon's side of the replicated state: feed, lease, proposals and, on a control daemon,
//! the replica itself.

mod feed;
mod handle;
mod propose;
mod replica;
mod view;

pub use feed::run_feed;
pub use handle::Control;
pub use propose::Author;
pub use propose::CommandError;
pub use replica::CONTROL_GROUP;
pub use replica::Outgoing;
pub use replica::ReplicaHandle;
pub use replica::STORE_GROUP;
pub use view::View;
