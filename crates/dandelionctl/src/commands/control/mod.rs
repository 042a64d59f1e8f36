//! Commands on the control group.

mod add_voter;
mod export;
mod remove_voter;
mod replace_voter;
mod status;

pub use add_voter::AddVoter;
pub use export::Export;
pub use remove_voter::RemoveVoter;
pub use replace_voter::ReplaceVoter;
pub use status::Status;
