//! The interval at which the outputs of runs are read.
//!
//! Designed for the load of a step: some hundred streams begin at once, each with an event every few
//! tens of milliseconds, at a daemon that has a part of a core. A stream costs it about as much each
//! time it is read, whether one event has arrived or ten. Read at each event, a step takes more
//! processor time than there is, and then leases, permits and results are late as well.

use dandelion_protocol::time::Millis;

/// Shortest interval, about that of an engine's events.
const MIN_INTERVAL: Millis = Millis(20);

/// Longest interval. The end of an output is noticed up to this much later, and a run that is to move
/// moves up to this much later.
const MAX_INTERVAL: Millis = Millis(250);

/// A wake-up that comes later than this after its time shows that the processor is behind.
const MAX_LATENESS: Millis = Millis(10);

/// Factor by which the interval grows when the processor is behind.
const GROWTH: f64 = 1.5;

/// Amount by which it shrinks otherwise.
const DECREASE: f64 = 5.0;

/// Interval between two reads of the same output, shared by all runs of a daemon: it grows while the
/// daemon falls behind, and shrinks by small steps while it keeps up.
#[derive(Debug, Clone)]
pub struct ReadPace {
    interval: f64,
    changed: Millis,
}

impl Default for ReadPace {
    fn default() -> Self {
        Self {
            interval: MIN_INTERVAL.0 as f64,
            changed: Millis::ZERO,
        }
    }
}

impl ReadPace {
    /// Returns the time to wait before an output without further bytes is read again.
    pub fn interval(&self) -> Millis {
        Millis(self.interval as u64)
    }

    /// Records that a task that waited for the interval woke up at `now`, this long after its time.
    /// The interval changes at most once in its own length, so that a change shows before the next.
    pub fn record_wake(&mut self, now: Millis, late: Millis) {
        if now < self.changed + self.interval() {
            return;
        }
        self.changed = now;
        let interval = if late > MAX_LATENESS {
            self.interval * GROWTH
        } else {
            self.interval - DECREASE
        };
        self.interval = interval.clamp(MIN_INTERVAL.0 as f64, MAX_INTERVAL.0 as f64);
    }
}
