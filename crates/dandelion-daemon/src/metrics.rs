//! Metrics of the daemon.

use dandelion_net::clock;
use dandelion_net::http::memory::Kind;
use dandelion_net::mesh::Family;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::detours::Ending;
use dandelion_telemetry::Metrics;
use dandelion_telemetry::metrics::MetricsError;
use dandelion_telemetry::metrics::TeamMetrics;
use prometheus::Histogram;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;

use crate::control::CONTROL_GROUP;
use crate::control::ReplicaHandle;
use crate::control::STORE_GROUP;
use crate::core::Handle;
use crate::gateway::limits::Asked;

/// Metrics by team and class, and those of the daemon itself.
#[derive(Debug)]
pub struct DaemonMetrics {
    metrics: Metrics,
    revision: IntGauge,
    leased: IntGauge,
    members: IntGauge,
    upstreams: IntGauge,
    leader_term: IntGauge,
    missing_voters: IntGaugeVec,
    short_seconds: IntGaugeVec,
    missing_bodies: IntGauge,
    missing_seconds: IntGauge,
    lost_stores: IntGauge,
    mesh_bytes: IntCounterVec,
    limited: IntGauge,
    cold: IntGauge,
    leaving: IntGauge,
    evacuated: IntGauge,
    origins: IntGauge,
    permits: IntCounterVec,
    links_lost: IntGauge,
    detours: IntCounterVec,
    scored: Histogram,
    scoring_tries: IntCounterVec,
    unscored: IntCounterVec,
    client_bytes: IntGaugeVec,
    client_connections: IntGauge,
    client_refusals: IntCounterVec,
}

impl DaemonMetrics {
    /// Opens the registry with labels for at most `teams` teams.
    pub fn open(teams: usize) -> Result<Self, MetricsError> {
        let metrics = Metrics::open(teams)?;
        Ok(Self {
            revision: metrics.gauge("revision", "Revision of the replicated state held.")?,
            leased: metrics.gauge("leased", "Whether keyed routes are served.")?,
            members: metrics.gauge("members", "Daemons known.")?,
            upstreams: metrics.gauge("owned_upstreams", "Upstreams owned.")?,
            leader_term: metrics.gauge(
                "charge_term",
                "Term under which this daemon is in charge; 0 if it is not.",
            )?,
            missing_voters: metrics.gauges(
                "missing_voters",
                "Voters that a group led by this daemon lacks; 0 if it is complete or led by another one.",
                "group",
            )?,
            short_seconds: metrics.gauges(
                "missing_voters_seconds",
                "Time for which a group led by this daemon has lacked voters.",
                "group",
            )?,
            missing_bodies: metrics.gauge(
                "missing_bodies",
                "Result bodies that this store should have and has not, as far as it has searched.",
            )?,
            missing_seconds: metrics.gauge(
                "missing_bodies_seconds",
                "Time for which this store has lacked result bodies.",
            )?,
            lost_stores: metrics.gauge("lost_stores", "Stores that this store takes for lost.")?,
            mesh_bytes: metrics.counters(
                "mesh_sent_bytes_total",
                "Payload bytes sent to other daemons.",
                "family",
            )?,
            limited: metrics.gauge("limited_upstreams", "Upstreams that name a limit.")?,
            cold: metrics.gauge("cold_upstreams", "Upstreams that are cold.")?,
            leaving: metrics.gauge(
                "leaving_upstreams",
                "Upstreams that have told this daemon that they leave and are still known.",
            )?,
            evacuated: metrics.gauge(
                "evacuated_zones",
                "Zones to whose upstreams this daemon sends nothing.",
            )?,
            origins: metrics.gauge(
                "stream_origins",
                "Streams whose origin this daemon knows, so that they can go on.",
            )?,
            permits: metrics.counters(
                "permits_total",
                "Permits granted to this daemon, and asks for permits that were denied or unanswered.",
                "outcome",
            )?,
            links_lost: metrics.gauge(
                "links_lost",
                "Whether this daemon reaches no upstream and others forward its callers' requests.",
            )?,
            detours: metrics.counters(
                "detours_total",
                "Callers' requests given to other daemons to forward, by what came of it.",
                "outcome",
            )?,
            scored: metrics.seconds(
                "item_scored_seconds",
                "Time from an item's complete output to its score.",
            )?,
            scoring_tries: metrics.counters(
                "scoring_tries_total",
                "Tries of scoring requests that brought a score, and those before them that did not.",
                "outcome",
            )?,
            unscored: metrics.counters(
                "items_unscored_total",
                "Items that were given up because they got no score, by reason.",
                "reason",
            )?,
            client_bytes: metrics.gauges(
                "client_memory_bytes",
                "Bytes that clients make this daemon hold, by what they belong to.",
                "kind",
            )?,
            client_connections: metrics
                .gauge("client_connections", "Open connections of clients.")?,
            client_refusals: metrics.counters(
                "client_refusals_total",
                "Bodies and connections of clients that were refused, by reason.",
                "reason",
            )?,
            metrics,
        })
    }

    /// Returns the metrics of a team and class; no team stands for requests without a key.
    pub fn team(&self, team: Option<&TeamId>, class: Class) -> TeamMetrics {
        self.metrics.team(team, class)
    }

    /// Counts the outcome of asking the control leader for permits.
    pub fn count_permits(&self, asked: &Asked) {
        let (outcome, count) = match asked {
            Asked::Granted(grant, _) => ("granted", u64::from(grant.count)),
            Asked::Denied(_) => ("denied", 1),
            Asked::NoLeader => ("unanswered", 1),
        };
        self.permits.with_label_values(&[outcome]).inc_by(count);
    }

    /// Counts a request that was given to another daemon to forward.
    pub fn count_detour(&self, ending: Ending) {
        let outcome = match ending {
            Ending::Forwarded => "forwarded",
            Ending::Unreached => "unreached",
            Ending::Declined(_) => "declined",
            Ending::Lost => "lost",
            Ending::Late => "late",
            Ending::Abandoned => "abandoned",
        };
        self.detours.with_label_values(&[outcome]).inc();
    }

    /// Counts an item that was scored, this long after its output was complete.
    pub fn observe_scored(&self, waited: Millis, tries: u32) {
        self.scored.observe(waited.0 as f64 / 1_000.0);
        let counter = |outcome| self.scoring_tries.with_label_values(&[outcome]);
        counter("scored").inc();
        counter("repeated").inc_by(u64::from(tries.saturating_sub(1)));
    }

    /// Counts an item that was given up without a score.
    pub fn count_unscored(&self, reason: &str) {
        self.unscored.with_label_values(&[reason]).inc();
    }

    /// Updates the gauges and renders all metrics in the text format of Prometheus.
    pub fn render(&self, core: &Handle) -> String {
        self.leased.set(i64::from(core.control.is_leased()));
        let view = core.control.view();
        self.revision.set(view.revision.0 as i64);
        self.members.set(view.members.len() as i64);
        self.upstreams.set(core.owners.records().len() as i64);
        self.leader_term.set(leader_term(core));
        self.update_groups(core);
        let limits = &core.gateway.limits;
        let limited = view.incarnations.iter();
        let limited = limited.filter(|u| limits.limit_of(&view, u).is_some());
        self.limited.set(limited.count() as i64);
        let cold = view.incarnations.iter();
        let cold = cold.filter(|u| limits.is_cold(&view, u));
        self.cold.set(cold.count() as i64);
        let leaving = &core.gateway.leaving;
        let leaving = view.incarnations.iter().filter(|u| leaving.leaves(u));
        self.leaving.set(leaving.count() as i64);
        self.evacuated.set(view.evacuated.len() as i64);
        self.origins.set(core.gateway.origins.len() as i64);
        let links_lost = core.gateway.reach().is_lost();
        self.links_lost.set(i64::from(links_lost));
        self.update_copies(core);
        self.update_clients(core);
        self.update_traffic(core);
        match self.metrics.render() {
            Ok(text) => text,
            Err(error) => format!("# {error}\n"),
        }
    }

    fn update_groups(&self, core: &Handle) {
        let groups = [
            (CONTROL_GROUP, core.control.replica()),
            (STORE_GROUP, core.stores.replica()),
        ];
        for (group, replica) in groups {
            let shortage = replica.and_then(ReplicaHandle::shortage);
            let (missing, lasted) = shortage.unwrap_or((0, Millis::ZERO));
            let gauge = self.missing_voters.with_label_values(&[group]);
            gauge.set(missing as i64);
            let gauge = self.short_seconds.with_label_values(&[group]);
            gauge.set((lasted.0 / 1_000) as i64);
        }
    }

    fn update_copies(&self, core: &Handle) {
        let missing = core.stores.texts.missing();
        self.missing_bodies.set(missing.bodies as i64);
        let lasted = missing
            .since
            .map_or(Millis::ZERO, |at| clock::boot_now().since(at));
        self.missing_seconds.set((lasted.0 / 1_000) as i64);
        self.lost_stores
            .set(core.stores.health().lost_count() as i64);
    }

    fn update_clients(&self, core: &Handle) {
        let usage = core.client_memory.usage();
        for (kind, bytes) in Kind::ALL.into_iter().zip(usage.bytes) {
            let gauge = self.client_bytes.with_label_values(&[kind.name()]);
            gauge.set(bytes as i64);
        }
        self.client_connections.set(usage.connections as i64);
        for (reason, count) in usage.refused {
            let counter = self.client_refusals.with_label_values(&[reason]);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    fn update_traffic(&self, core: &Handle) {
        let Some(mesh) = core.mesh() else {
            return;
        };
        for family in Family::ALL {
            let label = format!("{family:?}").to_lowercase();
            let counter = self.mesh_bytes.with_label_values(&[label.as_str()]);
            let sent = mesh.traffic(family).sent_bytes;
            counter.inc_by(sent.saturating_sub(counter.get()));
        }
    }
}

fn leader_term(core: &Handle) -> i64 {
    let replica = core.control.replica();
    let term = replica.and_then(|r| r.leader_term(Millis::ZERO));
    term.map_or(0, |term| term.0 as i64)
}
