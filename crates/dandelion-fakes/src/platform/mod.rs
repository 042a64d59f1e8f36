//! The platform: takes upstream orders and usage reports, and keeps everything it was sent.

mod records;
mod server;

pub use records::OrderRecord;
pub use records::PlatformCounts;
pub use records::UsageRecord;
pub use server::Platform;
pub use server::PlatformConfig;
