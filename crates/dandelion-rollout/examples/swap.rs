//! Measures a swap planner's work at four fleet sizes, and the virtual time until every engine
//! reports a new version.
//!
//! `cargo run --release -p dandelion-rollout --example swap`; the last line is JSON.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_rollout::weights::Artifact;
use dandelion_rollout::weights::SwapAction;
use dandelion_rollout::weights::SwapEvent;
use dandelion_rollout::weights::SwapPlanner;
use dandelion_rollout::weights::SwapSettings;
use dandelion_rollout::weights::WeightSource;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

/// Number of availability zones.
const ZONES: usize = 18;

/// Duration of one fetch, from the store or from a peer, in milliseconds.
const FETCH_MS: u64 = 1200;

/// Duration of one swap, in milliseconds.
const SWAP_MS: u64 = 600;

/// Upper limit of the delay between a swap and the engine's report of it, in milliseconds.
const REPORT_DELAY_MS: u64 = 1000;

/// Probability that a fetch or swap fails, in thousandths.
const FAIL_PERMILLE: u32 = 2;

struct Simulation {
    planner: SwapPlanner,
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), SwapEvent>,
    rng: StdRng,
    zones: BTreeMap<UpstreamId, ZoneId>,
    fetches: u64,
    store_fetches: u64,
    swaps: u64,
    swapping: BTreeMap<ZoneId, usize>,
    most_swapping: usize,
    events: u64,
    /// Engines that reported the new version.
    current: usize,
    busy: Duration,
}

fn job() -> JobId {
    "job".parse().expect("valid name")
}

fn artifact(version: u64) -> Artifact {
    Artifact {
        job: job(),
        version: WeightVersion(version),
    }
}

impl Simulation {
    fn open(engines: usize, settings: SwapSettings) -> Self {
        let mut simulation = Self {
            planner: SwapPlanner::open(settings),
            now: 0,
            order: 0,
            queue: BTreeMap::new(),
            rng: StdRng::seed_from_u64(7),
            zones: BTreeMap::new(),
            fetches: 0,
            store_fetches: 0,
            swaps: 0,
            swapping: BTreeMap::new(),
            most_swapping: 0,
            events: 0,
            current: 0,
            busy: Duration::ZERO,
        };
        for index in 0..engines {
            let upstream: UpstreamId = format!("engine-{index:05}").parse().expect("valid name");
            let zone: ZoneId = format!("zone-{}", index % ZONES)
                .parse()
                .expect("valid name");
            simulation.zones.insert(upstream.clone(), zone);
            let report = simulation.report(&upstream, 1);
            simulation.handle(report);
        }
        simulation
    }

    fn report(&self, upstream: &UpstreamId, version: u64) -> SwapEvent {
        SwapEvent::Reported {
            upstream: upstream.clone(),
            zone: self.zones[upstream].clone(),
            boot: Incarnation(1),
            loaded: vec![artifact(version)],
        }
    }

    fn after(&mut self, wait: u64, event: SwapEvent) {
        self.order += 1;
        self.queue.insert((self.now + wait, self.order), event);
    }

    fn handle(&mut self, event: SwapEvent) {
        self.events += 1;
        let mut actions = Vec::new();
        let start = Instant::now();
        self.planner.handle(Millis(self.now), event, &mut actions);
        self.busy += start.elapsed();
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: SwapAction) {
        let failed = self.rng.random_range(0..1000) < FAIL_PERMILLE;
        match action {
            SwapAction::Fetch {
                upstream,
                artifact,
                source,
            } => {
                self.fetches += 1;
                self.store_fetches += u64::from(source == WeightSource::Store);
                let done = !failed;
                self.after(
                    FETCH_MS,
                    SwapEvent::Fetched {
                        upstream,
                        artifact,
                        done,
                    },
                );
            }
            SwapAction::Swap { upstream, artifact } => {
                self.swaps += 1;
                let count = self
                    .swapping
                    .entry(self.zones[&upstream].clone())
                    .or_default();
                *count += 1;
                self.most_swapping = self.most_swapping.max(*count);
                if failed {
                    self.after(SWAP_MS, SwapEvent::SwapFailed { upstream, artifact });
                    return;
                }
                let wait = SWAP_MS + self.rng.random_range(0..REPORT_DELAY_MS);
                let report = self.report(&upstream, artifact.version.0);
                self.after(SWAP_MS, SwapEvent::SwapAnswered { upstream, artifact });
                self.after(wait, report);
            }
            SwapAction::Quarantine { .. } | SwapAction::Readmit { .. } => {}
        }
    }

    fn run(&mut self, engines: usize) -> u64 {
        self.handle(SwapEvent::Published {
            artifact: artifact(2),
        });
        self.after(100, SwapEvent::Tick);
        while self.current < engines {
            let Some(((at, _), event)) = self.queue.pop_first() else {
                break;
            };
            self.now = at;
            match &event {
                SwapEvent::Tick => self.after(100, SwapEvent::Tick),
                SwapEvent::Reported { .. } => self.current += 1,
                SwapEvent::SwapAnswered { upstream, .. }
                | SwapEvent::SwapFailed { upstream, .. } => {
                    let zone = self.zones[upstream].clone();
                    self.end_swap(&zone);
                }
                _ => {}
            }
            self.handle(event);
        }
        self.now
    }

    fn end_swap(&mut self, zone: &ZoneId) {
        if let Some(count) = self.swapping.get_mut(zone) {
            *count -= 1;
        }
    }
}

fn row(engines: usize, settings: SwapSettings, name: &str) -> Value {
    let mut simulation = Simulation::open(engines, settings);
    let before = simulation.planner.decisions();
    simulation.events = 0;
    simulation.busy = Duration::ZERO;
    let on_all = simulation.run(engines);
    assert_eq!(simulation.planner.current(), engines, "an engine is behind");
    let micros = simulation.busy.as_secs_f64() * 1e6;
    let zone = engines.div_ceil(ZONES);
    json!({
        "engines": engines,
        "plan": name,
        "on_all_s": on_all as f64 / 1000.0,
        "store_fetches": simulation.store_fetches,
        "fetches": simulation.fetches,
        "swaps": simulation.swaps,
        "swapping_share_max": simulation.most_swapping as f64 / zone as f64,
        "decisions_per_engine":
            (simulation.planner.decisions() - before) as f64 / engines as f64,
        "events": simulation.events,
        "micros_per_event": micros / simulation.events as f64,
    })
}

fn main() {
    let peers = SwapSettings::default();
    let store_only = SwapSettings {
        peer_fanout: 0,
        ..peers
    };
    let mut rows = Vec::new();
    for engines in [10, 100, 1000, 10_000] {
        rows.push(row(engines, peers, "peers"));
        rows.push(row(engines, store_only, "store only"));
    }
    for row in &rows {
        println!("{row}");
    }
    println!("{}", json!({ "swap": rows }));
}
