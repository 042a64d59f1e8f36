//! Metrics of each team and class.

use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

const LABELS: &[&str] = &["team", "class"];

/// Upper bounds of the buckets for times, in seconds.
pub(super) const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Upper bounds of the buckets for the tokens of one answer.
const TOKENS_BUCKETS: &[f64] = &[
    1.0, 8.0, 32.0, 128.0, 512.0, 1024.0, 2048.0, 4096.0, 8192.0, 16384.0, 32768.0,
];

/// Handle for the metrics of one team and class.
#[derive(Debug, Clone)]
pub struct TeamMetrics {
    request: Histogram,
    first_token: Histogram,
    queue: Histogram,
    tokens: Histogram,
    refused: IntCounter,
    inflight: IntGauge,
}

impl TeamMetrics {
    /// Counts a request as in flight.
    pub fn begin(&self) {
        self.inflight.inc();
    }

    /// Counts a request as ended, after `took` and with `tokens` generated tokens.
    pub fn end(&self, took: Millis, tokens: u64) {
        self.inflight.dec();
        self.request.observe(seconds(took));
        self.tokens.observe(tokens as f64);
    }

    /// Counts a refused request.
    pub fn refuse(&self) {
        self.refused.inc();
    }

    /// Records the time from a request to the first byte of its answer.
    pub fn first_token(&self, took: Millis) {
        self.first_token.observe(seconds(took));
    }

    /// Records the time that a request waited for an upstream.
    pub fn queued(&self, took: Millis) {
        self.queue.observe(seconds(took));
    }
}

fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1000.0
}

/// Metrics of all teams and classes, from which the handles [`TeamMetrics`] are made.
#[derive(Debug)]
pub(crate) struct TeamVectors {
    request: HistogramVec,
    first_token: HistogramVec,
    queue: HistogramVec,
    tokens: HistogramVec,
    refused: IntCounterVec,
    inflight: IntGaugeVec,
}

impl TeamVectors {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let vectors = Self {
            request: histogram(
                "request_seconds",
                "Time from a request to the end of its answer.",
                SECONDS_BUCKETS,
            )?,
            first_token: histogram(
                "first_token_seconds",
                "Time from a request to the first byte of its answer.",
                SECONDS_BUCKETS,
            )?,
            queue: histogram(
                "queue_seconds",
                "Time that a request waited for an upstream.",
                SECONDS_BUCKETS,
            )?,
            tokens: histogram(
                "answer_tokens",
                "Generated tokens of an answer.",
                TOKENS_BUCKETS,
            )?,
            refused: IntCounterVec::new(
                Opts::new("refused_total", "Requests that were refused."),
                LABELS,
            )?,
            inflight: IntGaugeVec::new(
                Opts::new("inflight", "Requests that run or wait."),
                LABELS,
            )?,
        };
        registry.register(Box::new(vectors.request.clone()))?;
        registry.register(Box::new(vectors.first_token.clone()))?;
        registry.register(Box::new(vectors.queue.clone()))?;
        registry.register(Box::new(vectors.tokens.clone()))?;
        registry.register(Box::new(vectors.refused.clone()))?;
        registry.register(Box::new(vectors.inflight.clone()))?;
        Ok(vectors)
    }

    pub(crate) fn of(&self, team: &str, class: Class) -> TeamMetrics {
        let labels = &[team, class_label(class)];
        TeamMetrics {
            request: self.request.with_label_values(labels),
            first_token: self.first_token.with_label_values(labels),
            queue: self.queue.with_label_values(labels),
            tokens: self.tokens.with_label_values(labels),
            refused: self.refused.with_label_values(labels),
            inflight: self.inflight.with_label_values(labels),
        }
    }

    /// Removes a team's series; there are none of a class that it never used.
    pub(crate) fn remove(&self, team: &str) {
        for class in [Class::Interactive, Class::Rollout] {
            let labels = &[team, class_label(class)];
            let removed = [
                self.request.remove_label_values(labels).is_ok(),
                self.first_token.remove_label_values(labels).is_ok(),
                self.queue.remove_label_values(labels).is_ok(),
                self.tokens.remove_label_values(labels).is_ok(),
                self.refused.remove_label_values(labels).is_ok(),
                self.inflight.remove_label_values(labels).is_ok(),
            ];
            debug_assert!(
                removed.iter().all(|one| *one == removed[0]),
                "a team's series are created and removed together"
            );
        }
    }
}

fn histogram(name: &str, help: &str, buckets: &[f64]) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    HistogramVec::new(opts, LABELS)
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Rollout => "rollout",
    }
}
