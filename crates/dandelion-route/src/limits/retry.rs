//! When a caller that was refused for want of permits may come back.

use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::time::Millis;

/// Longest delay after which a caller is asked to retry; its own deadline is seldom much later.
const MAX_RETRY: Millis = Millis(1_000);

/// Returns the delay after which a caller may retry: `wait`, until a permit is left again, and up to
/// the time in which upstreams of the given rates together have another one, by `draw` from 0 to 1.
/// Callers that were refused together so don't come back together.
pub fn retry_delay<R>(wait: Millis, rates: R, draw: f64) -> Millis
where
    R: Iterator<Item = RateLimit>,
{
    let rate: f64 = rates.map(RateLimit::per_second).sum();
    let interval = (1_000.0 / rate).min(MAX_RETRY.0 as f64);
    let spread = Millis((draw * interval) as u64);
    (wait + spread).min(MAX_RETRY)
}
