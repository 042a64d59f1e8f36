//! Measures what events and the placing of items cost the scheduler, by number of engines: three
//! models, each with a step of 192 items every four seconds that needs the weights of the step before.
//!
//! `cargo run --release -p dandelion-batch --example scheduling`

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::OrderOutcome;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_protocol::batch::BatchItem;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

const MODELS: [&str; 3] = ["m0", "m1", "m2"];
const ITEMS: usize = 192;
const GROUP: usize = 8;
const SLOTS: u32 = 6;
const SIZES: [usize; 5] = [10, 59, 101, 302, 3_001];
/// Steps of each model.
const STEPS: u64 = 3;
/// Time between two placings of items.
const TICK: Millis = Millis(25);
/// Ticks from one step of a model to the next.
const STEP_TICKS: u64 = 160;
/// Interval of an engine's reports.
const REPORT_INTERVAL: Millis = Millis(1_200);

fn service() -> ServiceId {
    "llm".parse().expect("a valid name")
}

fn engine(number: usize) -> (UpstreamIncarnation, Option<u64>) {
    let engine = UpstreamIncarnation {
        id: format!("e{number:05}").parse().expect("a valid name"),
        born: WallMillis(1),
        service: service(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: "z".parse().expect("a valid name"),
        slots: SLOTS,
        ready: true,
        software: SoftwareVersion("v1".to_owned()),
    };
    (engine, Some(72_582))
}

fn job(model: &str, step: u64) -> BatchJob {
    let item = |n: usize| BatchItem {
        id: format!("{model}.{step}.{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 3_000,
        expected: Some(10 + n as u64 % 50),
        model: Some(model.to_owned()),
        group: format!("g{}", n / GROUP),
        scoring: None,
    };
    BatchJob {
        id: format!("{model}.{step}"),
        team: "builders".parse().expect("a valid name"),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        min_version: step,
        wanted: (ITEMS / GROUP) as u32,
        due: Millis(7_500),
        keep: Millis(40_000),
        attempts: 3,
        pure: false,
        resumable: true,
        items: (0..ITEMS).map(item).collect(),
    }
}

/// Times spent on each kind of event.
#[derive(Debug, Default)]
struct Costs(BTreeMap<&'static str, (u32, Duration)>);

struct Rig {
    scheduler: Scheduler,
    costs: Costs,
    now: Millis,
    /// Ends of the runs in progress, in order.
    ends: BTreeSet<(Millis, RunId)>,
    loads: Vec<(Millis, Action)>,
}

impl Rig {
    fn handle(&mut self, kind: &'static str, event: Event<'_>) {
        let mut actions = Vec::new();
        let started = Instant::now();
        self.scheduler.record(self.now, event, &mut actions);
        let cost = self.costs.0.entry(kind).or_default();
        cost.0 += 1;
        cost.1 += started.elapsed();
        self.execute(actions);
    }

    /// Starts what the events of a tick have made possible.
    fn advance(&mut self) {
        let mut actions = Vec::new();
        let started = Instant::now();
        self.scheduler.advance(self.now, &mut actions);
        let cost = self.costs.0.entry("advance").or_default();
        cost.0 += 1;
        cost.1 += started.elapsed();
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run { run, .. } => {
                    let spread = run.0 * 37 % 1_000;
                    self.ends.insert((self.now + Millis(600 + spread), run));
                }
                Action::Order { .. } => self.loads.push((self.now + Millis(20), action)),
                _ => (),
            }
        }
    }

    fn end_runs(&mut self) {
        while let Some((at, run)) = self.ends.first().copied() {
            if at > self.now {
                return;
            }
            self.ends.remove(&(at, run));
            let speed = Speed {
                events: 6,
                span: Millis(180),
            };
            self.handle("began", Event::Began(run));
            for _ in 0..3 {
                self.handle("progress", Event::Progress { run, speed });
            }
            let outcome = RunOutcome::Finished {
                version: None,
                speed: Some(speed),
            };
            self.handle("run ended", Event::RunEnded { run, outcome });
        }
    }

    fn answer_loads(&mut self) {
        let due = |(at, _): &(Millis, Action)| *at <= self.now;
        let loads = std::mem::take(&mut self.loads);
        let (due, later): (Vec<_>, Vec<_>) = loads.into_iter().partition(due);
        self.loads = later;
        for (_, load) in due {
            let Action::Order {
                engine,
                model,
                version,
                ..
            } = load
            else {
                continue;
            };
            self.handle(
                "order ended",
                Event::OrderEnded {
                    engine: &engine.id,
                    model: &model,
                    version,
                    outcome: OrderOutcome::Accepted,
                },
            );
        }
    }
}

fn main() {
    for size in SIZES {
        let mut rig = Rig {
            scheduler: Scheduler::default(),
            costs: Costs::default(),
            now: Millis(1_000),
            ends: BTreeSet::new(),
            loads: Vec::new(),
        };
        let engines: Vec<_> = (0..size).map(engine).collect();
        let limited = BTreeSet::new();
        rig.handle(
            "engines",
            Event::Engines {
                engines: &engines,
                limited: &limited,
            },
        );
        let mut last_report = 0;
        for tick in 0..STEPS * STEP_TICKS {
            rig.now = Millis(1_000 + tick * TICK.0);
            if tick.is_multiple_of(STEP_TICKS) {
                let step = tick / STEP_TICKS;
                for model in MODELS {
                    let version = step + 1;
                    rig.handle("named", Event::Named { model, version });
                    let job = job(model, step);
                    rig.handle(
                        "opened",
                        Event::Opened {
                            job: &job,
                            open: vec![true; ITEMS],
                            service: Some(service()),
                            kept: Vec::new(),
                        },
                    );
                }
            }
            let due = size * (tick * TICK.0) as usize / REPORT_INTERVAL.0 as usize;
            for number in last_report..due {
                let life = engines[number % size].0.clone();
                let known = rig.scheduler.engines().get(&life.id);
                let versions = known.map(|e| e.versions.clone()).unwrap_or_default();
                let versions = if versions.is_empty() {
                    MODELS.iter().map(|m| ((*m).to_owned(), 1)).collect()
                } else {
                    versions.into_iter().collect()
                };
                let report = IncarnationReport {
                    life,
                    sequence: (number / size) as u64 + 1,
                    versions,
                    cold_left: None,
                };
                rig.handle("reported", Event::Reported(&report));
            }
            last_report = due;
            rig.answer_loads();
            rig.end_runs();
            rig.advance();
        }
        let total: Duration = rig.costs.0.values().map(|cost| cost.1).sum();
        println!("{size} engines: {total:?} in all");
        for (kind, (count, time)) in &rig.costs.0 {
            println!("  {kind}: {count}, {:?} each", *time / *count);
        }
    }
}
