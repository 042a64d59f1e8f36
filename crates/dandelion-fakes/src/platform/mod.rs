//! A fake platform: accepts upstream orders and usage reports, and records everything it receives.

mod records;
mod server;

pub use records::OrderRecord;
pub use records::PlatformCounts;
pub use records::UsageRecord;
pub use server::Platform;
pub use server::PlatformConfig;
