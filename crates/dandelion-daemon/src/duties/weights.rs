//! Deploys published weight versions to the engines while this daemon holds the leader lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use dandelion_kernel::Machine;
use dandelion_net::clock;
use dandelion_net::http::client;
use dandelion_net::http::client::SendOptions;
use dandelion_protocol::config::Config;
use dandelion_protocol::fleet::EngineOrder;
use dandelion_protocol::fleet::UpstreamReport;
use dandelion_protocol::fleet::WeightOrder;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_rollout::weights::Artifact;
use dandelion_rollout::weights::SwapAction;
use dandelion_rollout::weights::SwapEvent;
use dandelion_rollout::weights::SwapPlanner;
use dandelion_rollout::weights::SwapSettings;
use dandelion_rollout::weights::WeightSource;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::fenced::LEASE_MARGIN;

/// Interval between two rounds.
const TICK: Duration = Duration::from_millis(250);

/// Longest wait for an engine's answer to a swap order; the planner's swap timeout.
const SWAP_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for an engine's answer to a fetch order; the planner's fetch timeout.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Outcomes of orders that can be queued for the planner.
const ANSWER_CAPACITY: usize = 4096;

const ORDERS_PATH: &str = "/orders";
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Runs the duty until the process ends; does nothing while this daemon is not the leader.
pub async fn run_weights_duty(core: Handle) {
    let (events, queue) = async_channel::bounded(ANSWER_CAPACITY);
    let mut duty = Duty {
        planner: SwapPlanner::open(SwapSettings::default()),
        term: None,
        published: BTreeMap::new(),
        reports: BTreeMap::new(),
        events,
    };
    loop {
        task::sleep(TICK).await;
        duty.run_round(&core, &queue);
    }
}

struct Duty {
    planner: SwapPlanner,
    /// Term in which this daemon leads; a change resets the planner and the maps.
    term: Option<Term>,
    /// Versions of which the planner has been notified.
    published: BTreeMap<JobId, WeightVersion>,
    /// Last reports of the engines of which the planner has been notified.
    reports: BTreeMap<UpstreamId, UpstreamReport>,
    events: Sender<SwapEvent>,
}

impl Duty {
    fn run_round(&mut self, core: &Handle, queue: &Receiver<SwapEvent>) {
        let term = core.leader_term(LEASE_MARGIN);
        if term != self.term {
            self.planner = SwapPlanner::open(SwapSettings::default());
            self.published.clear();
            self.reports.clear();
            self.term = term;
        }
        let Some(term) = term else {
            return;
        };
        let mut inputs = self.engine_events(core);
        inputs.extend(self.version_events(&core.control.view().config));
        while let Ok(answer) = queue.try_recv() {
            inputs.push(answer);
        }
        inputs.push(SwapEvent::Tick);
        let mut actions = Vec::new();
        for event in inputs {
            self.planner.handle(clock::boot_now(), event, &mut actions);
        }
        for action in actions {
            self.execute(core, term, action);
        }
    }

    fn version_events(&mut self, config: &Config) -> Vec<SwapEvent> {
        let mut inputs = Vec::new();
        for (job, version) in &config.versions {
            if self.published.insert(job.clone(), *version) != Some(*version) {
                let artifact = Artifact {
                    job: job.clone(),
                    version: *version,
                };
                inputs.push(SwapEvent::Published { artifact });
            }
        }
        inputs
    }

    /// Returns an event for each engine that is reported, and for each that no longer is.
    fn engine_events(&mut self, core: &Handle) -> Vec<SwapEvent> {
        let view = core.control.view();
        let config = &view.config;
        let mut reports = core.fleet.upstreams(clock::boot_now());
        reports.retain(|_, r| r.version.is_some() && !r.leaving && !view.is_evacuated(&r.zone));
        let gone: BTreeSet<UpstreamId> = self
            .reports
            .keys()
            .filter(|known| !reports.contains_key(*known))
            .cloned()
            .collect();
        self.reports.retain(|known, _| !gone.contains(known));
        let mut inputs: Vec<SwapEvent> = gone
            .into_iter()
            .map(|upstream| SwapEvent::Gone { upstream })
            .collect();
        for (upstream, report) in reports {
            inputs.push(reported_event(config, &report));
            self.reports.insert(upstream, report);
        }
        inputs
    }

    fn execute(&self, core: &Handle, term: Term, action: SwapAction) {
        match action {
            SwapAction::Fetch {
                upstream,
                artifact,
                source,
            } => self.order(
                core,
                term,
                WeightOrder::FetchVersion,
                upstream,
                artifact,
                source,
            ),
            SwapAction::Swap { upstream, artifact } => {
                let source = WeightSource::Store;
                self.order(
                    core,
                    term,
                    WeightOrder::LoadVersion,
                    upstream,
                    artifact,
                    source,
                );
            }
            SwapAction::Quarantine { upstream, artifact } => {
                event!(
                    Event::SwapFailed,
                    upstream = upstream,
                    version = artifact.version
                );
            }
            SwapAction::Readmit { upstream } => log::info!("engine {upstream} is readmitted"),
        }
    }

    fn order(
        &self,
        core: &Handle,
        term: Term,
        kind: WeightOrder,
        upstream: UpstreamId,
        artifact: Artifact,
        source: WeightSource,
    ) {
        let Some(boot) = self.reports.get(&upstream).map(|r| r.boot) else {
            return;
        };
        let order = EngineOrder {
            kind,
            version: artifact.version,
            term,
            source: match source {
                WeightSource::Store => None,
                WeightSource::Peer(peer) => Some(peer),
            },
        };
        let core = core.clone();
        let events = self.events.clone();
        task::spawn(async move {
            let status = send_order(&core, &upstream, boot, &order).await;
            let done = status.is_some_and(|s| (200..300).contains(&s));
            let event = outcome_event(kind, upstream, artifact, done);
            // The receiver lives as long as the process.
            let _closed = events.send(event).await;
        });
    }
}

fn reported_event(config: &Config, report: &UpstreamReport) -> SwapEvent {
    let jobs = config
        .jobs
        .values()
        .filter(|j| j.service == report.service && !j.ended);
    let loaded = jobs.filter_map(|job| {
        Some(Artifact {
            job: job.id.clone(),
            version: report.version?,
        })
    });
    SwapEvent::Reported {
        upstream: report.upstream.clone(),
        zone: report.zone.clone(),
        boot: report.boot,
        loaded: loaded.collect(),
    }
}

fn outcome_event(
    kind: WeightOrder,
    upstream: UpstreamId,
    artifact: Artifact,
    done: bool,
) -> SwapEvent {
    match (kind, done) {
        (WeightOrder::FetchVersion, done) => SwapEvent::Fetched {
            upstream,
            artifact,
            done,
        },
        (WeightOrder::LoadVersion, true) => SwapEvent::SwapAnswered { upstream, artifact },
        (WeightOrder::LoadVersion, false) => SwapEvent::SwapFailed { upstream, artifact },
    }
}

/// Sends an order to the engine's owner if the leader lease still covers forwarding it. Returns the
/// engine's HTTP status; none if the order was not sent or no complete answer came.
async fn send_order(
    core: &Handle,
    upstream: &UpstreamId,
    boot: Incarnation,
    order: &EngineOrder,
) -> Option<u16> {
    let owner = core.fleet.owner(upstream)?;
    let held = core.leader_term(LEASE_MARGIN);
    if held != Some(order.term) {
        return None;
    }
    let call = CallBody::OrderEngine {
        upstream: upstream.clone(),
        boot,
        order: order.clone(),
    };
    let timeout = timeout_of(order.kind) + Duration::from_secs(1);
    match core.mesh()?.call(&owner, call, timeout).await {
        Ok(ReplyBody::Ordered(status)) => status,
        Ok(_) | Err(_) => None,
    }
}

fn timeout_of(kind: WeightOrder) -> Duration {
    match kind {
        WeightOrder::FetchVersion => FETCH_TIMEOUT,
        WeightOrder::LoadVersion => SWAP_TIMEOUT,
    }
}

/// Forwards an order to an engine that this daemon owns. Returns the engine's HTTP status; none if
/// it is not owned here in this incarnation or gave no complete answer.
pub async fn order_engine(
    core: &Handle,
    upstream: &UpstreamId,
    boot: Incarnation,
    order: &EngineOrder,
) -> Option<u16> {
    let address = core.owners.address(upstream, boot)?;
    let headers = [Header {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }];
    let body = serde_json::to_vec(order).ok()?;
    let request = client::request(address, "POST", ORDERS_PATH, &headers, body).ok()?;
    let timeout = timeout_of(order.kind);
    let options = SendOptions {
        deadline: Instant::now() + timeout,
        progress: timeout,
        idempotent: true,
        probe: true,
    };
    let mut exchange = core.client.send(address, request, &options).await.ok()?;
    let status = exchange.status();
    exchange.read_all(MAX_ANSWER_BYTES).await.ok()?;
    Some(status)
}
