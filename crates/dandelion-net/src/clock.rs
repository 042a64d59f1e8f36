//! The two clocks. State machines never read them; the I/O layer passes the time in.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since boot in milliseconds, including time spent suspended.
pub fn boot_now() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    Millis(now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_now() -> WallMillis {
    let span = SystemTime::now().duration_since(UNIX_EPOCH);
    WallMillis(span.map_or(0, |s| s.as_millis() as u64))
}
