//! Brings published weight versions to the engines while this daemon is in charge.

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
use crate::duties::platform::CHARGE_MARGIN;

/// Time between two rounds.
const TICK: Duration = Duration::from_millis(250);

/// Longest wait for an engine's answer to a swap order.
const SWAP_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait for an engine's answer to a fetch order.
const FETCH_LIMIT: Duration = Duration::from_secs(30);

/// Answers of engines that may wait.
const QUEUE: usize = 4096;

const ORDERS_PATH: &str = "/orders";
const MAX_ANSWER: usize = 64 * 1024;

/// Runs the duty until the process ends; it does nothing while another daemon is in charge.
pub async fn run_weights_duty(core: Handle) {
    let (events, queue) = async_channel::bounded(QUEUE);
    let mut duty = Duty {
        planner: SwapPlanner::open(SwapSettings::default()),
        term: None,
        published: BTreeMap::new(),
        seen: BTreeMap::new(),
        events,
    };
    loop {
        task::sleep(TICK).await;
        duty.round(&core, &queue);
    }
}

struct Duty {
    planner: SwapPlanner,
    term: Option<Term>,
    published: BTreeMap<JobId, WeightVersion>,
    seen: BTreeMap<UpstreamId, UpstreamReport>,
    events: Sender<SwapEvent>,
}

impl Duty {
    fn round(&mut self, core: &Handle, queue: &Receiver<SwapEvent>) {
        let term = core.charge(CHARGE_MARGIN);
        if term != self.term {
            self.planner = SwapPlanner::open(SwapSettings::default());
            self.published.clear();
            self.seen.clear();
            self.term = term;
        }
        let Some(term) = term else {
            return;
        };
        let mut news = self.engines(core);
        news.extend(self.versions(&core.control.view().config));
        while let Ok(answer) = queue.try_recv() {
            news.push(answer);
        }
        news.push(SwapEvent::Tick);
        let mut actions = Vec::new();
        for event in news {
            self.planner.handle(clock::boot_now(), event, &mut actions);
        }
        for action in actions {
            self.carry_out(core, term, action);
        }
    }

    fn versions(&mut self, config: &Config) -> Vec<SwapEvent> {
        let mut news = Vec::new();
        for (job, version) in &config.versions {
            if self.published.insert(job.clone(), *version) != Some(*version) {
                let artifact = Artifact {
                    job: job.clone(),
                    version: *version,
                };
                news.push(SwapEvent::Published { artifact });
            }
        }
        news
    }

    /// Tells the planner of engines whose report has changed, and of those that are gone.
    fn engines(&mut self, core: &Handle) -> Vec<SwapEvent> {
        let config = &core.control.view().config;
        let mut reports = core.fleet.upstreams(clock::boot_now());
        reports.retain(|_, r| r.version.is_some() && !r.leaving);
        let gone: BTreeSet<UpstreamId> = self
            .seen
            .keys()
            .filter(|known| !reports.contains_key(*known))
            .cloned()
            .collect();
        self.seen.retain(|known, _| !gone.contains(known));
        let mut news: Vec<SwapEvent> = gone
            .into_iter()
            .map(|upstream| SwapEvent::Gone { upstream })
            .collect();
        for (upstream, report) in reports {
            news.push(seen(config, &report));
            self.seen.insert(upstream, report);
        }
        news
    }

    fn carry_out(&self, core: &Handle, term: Term, action: SwapAction) {
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
            SwapAction::Readmit { upstream } => log::info!("engine {upstream} is tried again"),
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
        let Some(boot) = self.seen.get(&upstream).map(|r| r.boot) else {
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
            let status = send(&core, &upstream, boot, &order).await;
            let done = status.is_some_and(|s| (200..300).contains(&s));
            let event = answered(kind, upstream, artifact, done);
            // The receiver lives as long as the process.
            let _closed = events.send(event).await;
        });
    }
}

fn seen(config: &Config, report: &UpstreamReport) -> SwapEvent {
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

fn answered(kind: WeightOrder, upstream: UpstreamId, artifact: Artifact, done: bool) -> SwapEvent {
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

/// Sends an order through the engine's owner, if the lease still covers the passing on.
async fn send(
    core: &Handle,
    upstream: &UpstreamId,
    boot: Incarnation,
    order: &EngineOrder,
) -> Option<u16> {
    let owner = core.fleet.owner(upstream)?;
    let charge = core.charge(CHARGE_MARGIN);
    if charge != Some(order.term) {
        return None;
    }
    let call = CallBody::OrderEngine {
        upstream: upstream.clone(),
        boot,
        order: order.clone(),
    };
    let limit = limit_of(order.kind) + Duration::from_secs(1);
    match core.mesh()?.call(&owner, call, limit).await {
        Ok(ReplyBody::Ordered(status)) => status,
        Ok(_) | Err(_) => None,
    }
}

fn limit_of(kind: WeightOrder) -> Duration {
    match kind {
        WeightOrder::FetchVersion => FETCH_LIMIT,
        WeightOrder::LoadVersion => SWAP_LIMIT,
    }
}

/// Passes an order on to an engine that this daemon owns; returns the engine's status.
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
    let limit = limit_of(order.kind);
    let options = SendOptions {
        deadline: Instant::now() + limit,
        progress: limit,
        idempotent: true,
    };
    let mut exchange = core.client.send(address, request, &options).await.ok()?;
    let status = exchange.status();
    exchange.read_all(MAX_ANSWER).await.ok()?;
    Some(status)
}
