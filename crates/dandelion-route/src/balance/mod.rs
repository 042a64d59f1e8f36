//! Choice of an upstream for one request, by load, health and prefix affinity.

mod ejection;
pub mod health;
pub mod latency;
pub mod limit;
mod members;
pub mod pool;
pub mod prefix;
pub mod slot;

pub use health::Health;
pub use limit::AdaptiveLimit;
pub use pool::Pool;
pub use prefix::CacheEvent;
pub use prefix::PrefixIndex;
pub use slot::Slot;
