//! The registry of a daemon's metrics.

use dandelion_protocol::ids::TeamId;
use dandelion_protocol::usage::Class;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use thiserror::Error;

use super::team::SECONDS_BUCKETS;
use super::team::TeamMetrics;
use super::team::TeamVectors;
use super::teams::Teams;

/// Prefix of every metric's name.
const NAMESPACE: &str = "dandelion";

/// A metric could not be registered or written.
#[derive(Debug, Error)]
#[error("metric could not be registered or written ({0}); give each metric one valid name")]
pub struct MetricsError(#[from] prometheus::Error);

/// Every metric of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    vectors: TeamVectors,
    teams: Teams,
}

impl Metrics {
    /// Creates a registry in which at most `max_teams` teams have a label of their own; the others
    /// share one.
    pub fn open(max_teams: usize) -> Result<Self, MetricsError> {
        let registry = Registry::new_custom(Some(NAMESPACE.to_owned()), None)?;
        let vectors = TeamVectors::register(&registry)?;
        Ok(Self {
            registry,
            vectors,
            teams: Teams::new(max_teams),
        })
    }

    /// Returns the metrics of a team and class; `None` stands for the requests of open routes, which
    /// have no team.
    ///
    /// The handle is cheap to clone and is used without a lock; keep it while the team is served.
    pub fn team(&self, team: Option<&TeamId>, class: Class) -> TeamMetrics {
        self.vectors.of(&self.teams.label(team), class)
    }

    /// Removes a team's metrics and makes its label available to another team.
    pub fn forget_team(&self, team: &TeamId) {
        if self.teams.forget(team) {
            self.vectors.remove(team.as_str());
        }
    }

    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Registers counters with one label. Its values must be few and fixed, such as error codes.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        label: &str,
    ) -> Result<IntCounterVec, MetricsError> {
        self.register(IntCounterVec::new(Opts::new(name, help), &[label])?)
    }

    /// Registers gauges that are distinguished by one label.
    pub fn gauges(&self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec, MetricsError> {
        self.register(IntGaugeVec::new(Opts::new(name, help), &[label])?)
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Registers a histogram of times in seconds.
    pub fn seconds(&self, name: &str, help: &str) -> Result<Histogram, MetricsError> {
        let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
        self.register(Histogram::with_opts(opts)?)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }

    fn register<C>(&self, collector: C) -> Result<C, MetricsError>
    where
        C: Collector + Clone + 'static,
    {
        self.registry.register(Box::new(collector.clone()))?;
        Ok(collector)
    }
}
