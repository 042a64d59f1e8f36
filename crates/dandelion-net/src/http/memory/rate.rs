//! Bytes received within the latest window. Has no clock: the caller passes the time.

use dandelion_protocol::time::Millis;

/// Counts bytes in two buckets of one window each, of which the older one counts in proportion to
/// the part of it that is within the latest window.
#[derive(Debug, Clone, Copy)]
pub struct RateWindow {
    window: u64,
    opened: u64,
    started: u64,
    previous: u64,
    current: u64,
}

impl RateWindow {
    /// Starts to count at `now`; a window of 0 counts as 1 ms.
    pub fn open(window: Millis, now: Millis) -> Self {
        Self {
            window: window.0.max(1),
            opened: now.0,
            started: now.0,
            previous: 0,
            current: 0,
        }
    }

    /// Counts received bytes.
    pub fn record(&mut self, now: Millis, bytes: usize) {
        let age = now.0.saturating_sub(self.started);
        let windows = age / self.window;
        if windows > 0 {
            self.previous = if windows == 1 { self.current } else { 0 };
            self.current = 0;
            self.started = self.started.saturating_add(windows * self.window);
        }
        self.current = self.current.saturating_add(bytes as u64);
    }

    /// Returns the bytes received in the window that ends at `now`.
    pub fn recent(&self, now: Millis) -> u64 {
        let mut counted = *self;
        counted.record(now, 0);
        let offset = now.0.saturating_sub(counted.started);
        let left = u128::from(counted.window.saturating_sub(offset));
        let older = u128::from(counted.previous) * left / u128::from(counted.window);
        counted.current.saturating_add(older as u64)
    }

    /// Returns whether less than `rate` bytes per second came in the window that ends at `now`.
    /// During the first window there is no judgement.
    pub fn is_below(&self, now: Millis, rate: u64) -> bool {
        if now.0.saturating_sub(self.opened) < self.window {
            return false;
        }
        let needed = u128::from(rate) * u128::from(self.window) / 1000;
        u128::from(self.recent(now)) < needed
    }
}
