//! Memory and connections that clients make a process hold, over all of its listeners.

mod account;
mod ledger;
mod rate;

pub use account::BodyShare;
pub use account::ClientMemory;
pub use account::ConnectionLimits;
pub use account::Full;
pub use account::Held;
pub use account::OpenConnection;
pub use account::Usage;
pub use ledger::Growth;
pub use ledger::HolderId;
pub use ledger::Kind;
pub use ledger::Ledger;
pub use ledger::SHORT_BYTES;
pub use rate::RateWindow;
