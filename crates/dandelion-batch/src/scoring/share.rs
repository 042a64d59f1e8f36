//! The share of a service's slots that scoring requests may use.

use dandelion_protocol::time::Millis;

/// Part of a service's slots that scoring requests use at most; the rest is left to callers.
const MAX_SHARE: f64 = 0.5;

/// Factor by which the limit shrinks when an upstream is full.
const FULL_FACTOR: f64 = 0.7;

/// Factor by which the limit shrinks when an answer took much longer than usual.
const SLOW_FACTOR: f64 = 0.9;

/// An answer is slow if it took this many times the usual time: requests wait for slots then.
const SLOW_RATIO: f64 = 2.0;

/// Growth of the limit with each answer in usual time, divided by the limit.
const GROWTH: f64 = 1.0;

/// Weight of an answer that was faster than usual in the estimate of the usual time.
const FASTER_WEIGHT: f64 = 0.3;

/// Weight of an answer that was slower; small, so that a time of overload doesn't become usual.
const SLOWER_WEIGHT: f64 = 0.01;

/// Time that an answer is assumed to take before the first one.
const INITIAL_TIME_MS: f64 = 100.0;

/// The timeout of a request is this many times the usual time of an answer.
const TIMEOUT_FACTOR: f64 = 8.0;

/// Shortest timeout of a request.
const MIN_TIMEOUT: Millis = Millis(300);

/// Longest timeout of a request.
const MAX_TIMEOUT: Millis = Millis(2_000);

/// Limit on the scoring requests in flight at one service: at most half of its slots, less while
/// its upstreams are full or slow, which is when callers wait for slots.
#[derive(Debug, Clone)]
pub struct CallShare {
    /// Slots of the upstreams that are ready.
    slots: u32,
    limit: f64,
    running: u32,
    /// Usual time of an answer in milliseconds.
    usual: f64,
}

impl CallShare {
    /// Opens the share of a service whose ready upstreams have this number of slots.
    pub fn open(slots: u32) -> Self {
        let mut share = Self {
            slots,
            limit: f64::MAX,
            running: 0,
            usual: INITIAL_TIME_MS,
        };
        share.set_slots(slots);
        share
    }

    /// Sets the number of slots of the upstreams that are ready.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(self.max_limit());
    }

    /// Returns the number of requests that may be in flight; at least one.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether a further request may be sent.
    pub fn has_room(&self) -> bool {
        self.running < self.limit()
    }

    /// Returns the timeout of a request that is sent now.
    pub fn timeout(&self) -> Millis {
        let timeout = Millis((self.usual * TIMEOUT_FACTOR) as u64);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request without an answer that tells about the load.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts the end of a request that was answered after this time.
    pub fn answered(&mut self, took: Millis) {
        self.end();
        let took = took.0 as f64;
        if took > self.usual * SLOW_RATIO {
            self.shrink(SLOW_FACTOR);
        } else {
            self.limit = (self.limit + GROWTH / self.limit).min(self.max_limit());
        }
        let weight = if took < self.usual {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        self.usual += weight * (took - self.usual);
    }

    /// Counts the end of a request that an upstream refused because it is full.
    pub fn refused(&mut self) {
        self.end();
        self.shrink(FULL_FACTOR);
    }

    fn shrink(&mut self, factor: f64) {
        self.limit = (self.limit * factor).max(1.0);
    }

    fn max_limit(&self) -> f64 {
        (f64::from(self.slots) * MAX_SHARE).floor().max(1.0)
    }
}
