//! One upstream as its owner sees it.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::ReportedLoad;

use crate::balance::health::Health;
use crate::balance::health::State;
use crate::balance::limit::AdaptiveLimit;

/// Weight of a new sample in the smoothed latency, as a divisor.
const SMOOTHING: u64 = 8;

/// Weight of a new sample in the usual latency, as a divisor.
const USUAL_SMOOTHING: u64 = 128;

/// Rise of the latency over the usual one that counts as congestion, in thousandths.
const CONGESTED_PERMILLE: u64 = 1500;

/// Samples needed before a rise counts.
const CONGESTED_SAMPLES: u32 = 32;

/// An upstream with its counts.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Name.
    pub id: UpstreamId,
    /// Life of the upstream.
    pub boot: Incarnation,
    /// Whether it may get new work: neither leaving nor silent, and with some capacity.
    pub open: bool,
    /// Whether its boot is leaving; never unset within the boot.
    pub leaving: bool,
    /// Requests that this owner has at it.
    pub inflight: u32,
    /// Work of others that it reports and this owner did not send.
    pub foreign: u32,
    /// Concurrency limit.
    pub limit: AdaptiveLimit,
    /// Health.
    pub health: Health,
    /// Whether it is kept free for one isolated request.
    pub reserved: bool,
    /// Smoothed latency per predicted token in microseconds, and samples behind it.
    pub latency: (u64, u32),
    /// Latency as smoothed over many more samples, to tell a rise from what is usual.
    usual: u64,
    /// Greatest own count since the last report, and in the interval before it.
    peaks: (u32, u32),
}

impl Slot {
    /// Makes the record of a newly joined upstream.
    pub fn new(heard: &Announcement, warming: Option<Millis>) -> Self {
        Self {
            id: heard.upstream.clone(),
            boot: heard.boot,
            open: heard.capacity > 0,
            leaving: false,
            inflight: 0,
            foreign: heard.load.running + heard.load.waiting,
            limit: AdaptiveLimit::new(heard.capacity),
            health: Health::new(warming),
            reserved: false,
            latency: (0, 0),
            usual: 0,
            peaks: (0, 0),
        }
    }

    /// Counts a request sent to it.
    pub fn begin(&mut self) {
        self.inflight += 1;
        self.peaks.0 = self.peaks.0.max(self.inflight);
    }

    /// Counts a request that ended.
    pub fn end(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// Corrects by a report. Reports lag, so only what exceeds the greatest own count of the
    /// last two intervals is counted as work of others.
    pub fn report(&mut self, load: &ReportedLoad) {
        let own = self.peaks.0.max(self.peaks.1);
        self.foreign = (load.running + load.waiting).saturating_sub(own);
        self.peaks = (self.inflight, self.peaks.0);
    }

    /// Returns the requests that may be at it now.
    pub fn allowed(&self) -> u32 {
        if self.health.state == State::HalfOpen {
            return 1;
        }
        self.limit.get().saturating_sub(self.foreign).max(1)
    }

    /// Returns whether a shared request may be sent to it.
    pub fn is_free(&self) -> bool {
        self.open && !self.reserved && self.health.takes_work() && self.inflight < self.allowed()
    }

    /// Returns its load if it got one more request, in thousandths of what it is offered.
    pub fn score(&self, now: Millis) -> u32 {
        let load = u64::from(self.inflight + self.foreign + 1) * 1_000_000;
        let offered = u64::from(self.limit.get()) * u64::from(self.health.share(now).max(1));
        (load / offered) as u32
    }

    /// Adds a latency sample.
    pub fn sample(&mut self, micros: u64) {
        let (old, count) = self.latency;
        let smoothed = if count == 0 {
            micros
        } else {
            (old * (SMOOTHING - 1) + micros) / SMOOTHING
        };
        self.latency = (smoothed, count.saturating_add(1));
        self.usual = if self.usual == 0 {
            micros
        } else {
            (self.usual * (USUAL_SMOOTHING - 1) + micros) / USUAL_SMOOTHING
        };
    }

    /// Moves the limit after a clean answer.
    pub fn adapt(&mut self, now: Millis) {
        if self.is_congested() {
            self.limit.lower(now);
        } else {
            self.limit.raise();
        }
    }

    /// Returns whether the latency has risen well over what is usual for this upstream.
    pub fn is_congested(&self) -> bool {
        let (latency, samples) = self.latency;
        samples >= CONGESTED_SAMPLES && latency * 1000 > self.usual * CONGESTED_PERMILLE
    }
}
