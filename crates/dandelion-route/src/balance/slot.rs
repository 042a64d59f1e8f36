//! State of one upstream at its owner.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::ReportedLoad;

use crate::balance::health::Health;
use crate::balance::health::State;
use crate::balance::limit::AdaptiveLimit;

/// Divisor of the smoothed latency: a new sample has the weight `1 / SMOOTHING`.
const SMOOTHING: u64 = 8;

/// Divisor of the baseline latency: a new sample has the weight `1 / BASELINE_SMOOTHING`.
const BASELINE_SMOOTHING: u64 = 128;

/// Latency above which an upstream counts as congested, in thousandths of its baseline.
const CONGESTED_PERMILLE: u64 = 1500;

/// Samples needed before an upstream can count as congested.
const CONGESTED_SAMPLES: u32 = 32;

/// One boot of an upstream, with its load, limit and health.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Name of the upstream, stable over restarts.
    pub id: UpstreamId,
    /// Incarnation of the upstream.
    pub boot: Incarnation,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Whether it may get new work: neither leaving nor silent, and with some capacity.
    pub open: bool,
    /// Whether this boot is leaving; never unset.
    pub leaving: bool,
    /// Requests that this owner has at it.
    pub inflight: u32,
    /// Requests that it reports and that this owner did not send.
    pub foreign: u32,
    /// Adaptive limit of the requests that may be at it.
    pub limit: AdaptiveLimit,
    /// Failures, ejection and slow start.
    pub health: Health,
    /// Whether it is reserved for isolated requests.
    pub reserved: bool,
    /// Smoothed latency per token in microseconds, and the number of samples in it.
    pub latency: (u64, u32),
    /// Latency per token in microseconds, smoothed over many more samples, to detect a rise.
    baseline: u64,
    /// Greatest `inflight` since the last report, and in the interval before it.
    peaks: (u32, u32),
}

impl Slot {
    /// Creates the state of an upstream that has joined; `warming` is when its slow start began.
    pub fn new(announcement: &Announcement, warming: Option<Millis>) -> Self {
        Self {
            id: announcement.upstream.clone(),
            boot: announcement.boot,
            software: announcement.software.clone(),
            open: announcement.capacity > 0,
            leaving: false,
            inflight: 0,
            foreign: announcement.load.running + announcement.load.waiting,
            limit: AdaptiveLimit::new(announcement.capacity),
            health: Health::new(warming),
            reserved: false,
            latency: (0, 0),
            baseline: 0,
            peaks: (0, 0),
        }
    }

    /// Counts a request sent to it.
    pub fn begin(&mut self) {
        self.inflight += 1;
        self.peaks.0 = self.peaks.0.max(self.inflight);
    }

    /// Counts the end of a request.
    pub fn end(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// Updates `foreign` by a report. Reports lag, so only what exceeds this owner's greatest count
    /// of the last two intervals is counted as work of others.
    pub fn report(&mut self, load: &ReportedLoad) {
        let own = self.peaks.0.max(self.peaks.1);
        self.foreign = (load.running + load.waiting).saturating_sub(own);
        self.peaks = (self.inflight, self.peaks.0);
    }

    /// Returns how many requests of this owner may be at it now.
    pub fn allowed(&self) -> u32 {
        if self.health.state == State::HalfOpen {
            return 1;
        }
        self.limit.get().saturating_sub(self.foreign).max(1)
    }

    /// Returns whether a shared request may be sent to it.
    pub fn is_free(&self) -> bool {
        self.open && !self.reserved && self.health.accepts_work() && self.inflight < self.allowed()
    }

    /// Returns its load with one more request, in thousandths of the limit that slow start allows.
    pub fn score(&self, now: Millis) -> u32 {
        let load = u64::from(self.inflight + self.foreign + 1) * 1_000_000;
        let offered = u64::from(self.limit.get()) * u64::from(self.health.share(now).max(1));
        (load / offered) as u32
    }

    /// Adds a latency sample.
    pub fn record_latency(&mut self, micros: u64) {
        let (old, count) = self.latency;
        let smoothed = if count == 0 {
            micros
        } else {
            (old * (SMOOTHING - 1) + micros) / SMOOTHING
        };
        self.latency = (smoothed, count.saturating_add(1));
        self.baseline = if self.baseline == 0 {
            micros
        } else {
            (self.baseline * (BASELINE_SMOOTHING - 1) + micros) / BASELINE_SMOOTHING
        };
    }

    /// Adapts the limit after a clean answer: lowers it if the latency has risen, else raises it.
    pub fn adapt_limit(&mut self, now: Millis) {
        if self.is_congested() {
            self.limit.lower(now);
        } else {
            self.limit.raise();
        }
    }

    /// Returns whether the latency has risen well above the upstream's baseline.
    pub fn is_congested(&self) -> bool {
        let (latency, samples) = self.latency;
        samples >= CONGESTED_SAMPLES && latency * 1000 > self.baseline * CONGESTED_PERMILLE
    }
}
