//! Steps of three models on hundreds of engines, whose loads of weights slow each other down beyond a
//! dozen at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::OrderOutcome;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_protocol::batch::BatchItem;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

const ENGINES: usize = 200;
const SLOTS: u32 = 6;
const MODELS: [&str; 3] = ["a", "b", "c"];
const ITEMS: usize = 192;
/// Steps of each model, one after the other.
const STEPS: u64 = 5;
/// Time of a load while at most `FREE_LOADS` run.
const LOAD_MS: f64 = 900.0;
const FREE_LOADS: usize = 12;
/// Time in which trainers want a step.
const DUE_MS: u64 = 7_500;
const TICK: u64 = 25;
const REPORT_MS: u64 = 1_200;
/// Time after which an engine answers that it did not run an item.
const REFUSAL_MS: u64 = 5;

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn engine(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("e{number:03}").parse().unwrap(),
        born: WallMillis(1),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: SLOTS,
        ready: true,
        software: SoftwareVersion("v1".to_owned()),
    }
}

fn step_id(model: &str, step: u64) -> String {
    format!("{model}{step}")
}

/// Returns the job of a step, which allows the version before its own.
fn step(model: &str, step: u64) -> BatchJob {
    let item = |n: usize| BatchItem {
        id: format!("{model}.{step}.{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 3_000,
        expected: Some(10),
        model: Some(model.to_owned()),
        group: format!("g{}", n / 8),
        scoring: None,
    };
    BatchJob {
        id: step_id(model, step),
        team: "builders".parse().unwrap(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        min_version: step,
        wanted: 24,
        due: Millis(7_500),
        keep: Millis(40_000),
        attempts: 3,
        pure: false,
        resumable: true,
        items: (0..ITEMS).map(item).collect(),
    }
}

/// An engine as it is, which the scheduler knows by answers and reports only.
#[derive(Debug, Clone, Default)]
struct Real {
    versions: BTreeMap<String, u64>,
    /// Model, version and the work left of a load.
    load: Option<(String, u64, f64)>,
}

/// Time after which a run has its first event.
const FIRST_EVENT_MS: u64 = 30;

/// What a run's end will be, by time.
type Ends = BTreeMap<(u64, RunId), RunOutcome>;

struct Cell {
    scheduler: Scheduler,
    now: u64,
    real: Vec<Real>,
    begun: BTreeSet<(u64, RunId)>,
    ends: Ends,
    refused: usize,
    runs: usize,
    busy: usize,
    /// Items left and opening time of the open steps.
    open: BTreeMap<String, (usize, u64)>,
    /// Times that steps took.
    took: Vec<u64>,
    jobs: BTreeMap<RunId, String>,
}

impl Cell {
    fn open() -> Self {
        let mut cell = Self {
            scheduler: Scheduler::default(),
            now: 1_000,
            real: vec![Real::default(); ENGINES],
            begun: BTreeSet::new(),
            ends: Ends::new(),
            refused: 0,
            runs: 0,
            busy: 0,
            open: BTreeMap::new(),
            took: Vec::new(),
            jobs: BTreeMap::new(),
        };
        let engines: Vec<_> = (0..ENGINES).map(|n| (engine(n), Some(70_000))).collect();
        cell.handle(Event::Engines {
            engines: &engines,
            limited: &BTreeSet::new(),
        });
        for number in 0..ENGINES {
            let versions = MODELS.iter().map(|m| ((*m).to_owned(), 1)).collect();
            cell.real[number].versions = versions;
            cell.report(number);
        }
        cell
    }

    /// Passes an event to the scheduler, which acts at the end of the tick.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.scheduler.record(Millis(self.now), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn advance(&mut self) {
        let mut actions = Vec::new();
        self.scheduler.advance(Millis(self.now), &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Run {
                run, job, engine, ..
            } => {
                self.runs += 1;
                let (model, step) = job.split_at(1);
                let real = &self.real[number_of(engine.id.as_str())];
                let loads = real.load.as_ref().is_some_and(|load| load.0 == *model);
                let version = real.versions[model];
                let step: u64 = step.parse().unwrap();
                let (after, outcome) = if loads {
                    (REFUSAL_MS, RunOutcome::Refused)
                } else if version < step {
                    (REFUSAL_MS, RunOutcome::Stale(version))
                } else {
                    let version = Some(version);
                    let speed = None;
                    (
                        500 + run.0 * 37 % 1_000,
                        RunOutcome::Finished { version, speed },
                    )
                };
                if let RunOutcome::Finished { .. } = outcome {
                    self.begun.insert((self.now + FIRST_EVENT_MS, run));
                }
                self.ends.insert((self.now + after, run), outcome);
                self.jobs.insert(run, job);
            }
            Action::Order {
                engine,
                model,
                version,
                ..
            } => {
                let real = &mut self.real[number_of(engine.id.as_str())];
                let outcome = if real.load.is_some() {
                    self.busy += 1;
                    OrderOutcome::Busy
                } else {
                    real.load = Some((model.clone(), version, LOAD_MS));
                    OrderOutcome::Accepted
                };
                self.handle(Event::OrderEnded {
                    engine: &engine.id,
                    model: &model,
                    version,
                    outcome,
                });
            }
            _ => (),
        }
    }

    fn report(&mut self, number: usize) {
        let report = IncarnationReport {
            life: engine(number),
            sequence: self.now,
            versions: self.real[number].versions.clone(),
            cold_left: None,
        };
        self.handle(Event::Reported(&report));
    }

    fn begin_step(&mut self, model: &str, number: u64) {
        self.handle(Event::Named {
            model,
            version: number + 1,
        });
        let job = step(model, number);
        self.open.insert(job.id.clone(), (ITEMS, self.now));
        self.handle(Event::Opened {
            job: &job,
            open: vec![true; ITEMS],
            service: Some(service()),
            kept: Vec::new(),
        });
    }

    fn end_runs(&mut self) {
        while let Some(((at, run), outcome)) = self.ends.pop_first() {
            if at > self.now {
                self.ends.insert((at, run), outcome);
                return;
            }
            self.refused += usize::from(outcome == RunOutcome::Refused);
            let is_finished = matches!(outcome, RunOutcome::Finished { .. });
            self.handle(Event::RunEnded { run, outcome });
            if !is_finished {
                continue;
            }
            let job = self.jobs[&run].clone();
            let open = self.open.get_mut(&job).unwrap();
            open.0 -= 1;
            if open.0 == 0 {
                self.took.push(self.now - open.1);
                self.open.remove(&job);
                let (model, number) = job.split_at(1);
                let next = number.parse::<u64>().unwrap() + 1;
                if next <= STEPS {
                    self.begin_step(model, next);
                }
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let loading = self.real.iter().filter(|real| real.load.is_some()).count();
        let speed = (FREE_LOADS as f64 / loading.max(1) as f64).min(1.0);
        for real in &mut self.real {
            if let Some((_, _, left)) = &mut real.load {
                *left -= TICK as f64 * speed;
            }
            if let Some((model, version, _)) = real.load.take_if(|load| load.2 <= 0.0) {
                real.versions.insert(model, version);
            }
        }
        for number in 0..ENGINES {
            if (self.now / TICK + number as u64).is_multiple_of(REPORT_MS / TICK) {
                self.report(number);
            }
        }
        while let Some((_, run)) = self
            .begun
            .first()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.begun.pop_first();
            self.handle(Event::Began(run));
        }
        self.end_runs();
        self.advance();
    }
}

fn number_of(id: &str) -> usize {
    id[1..].parse().unwrap()
}

/// The engines load a few at a time, so that none is sent items or orders while it still loads.
#[test]
fn loads_within_bounds() {
    let mut cell = Cell::open();
    for model in MODELS {
        cell.begin_step(model, 1);
    }
    while !cell.open.is_empty() {
        cell.tick();
        for (id, (left, since)) in &cell.open {
            assert!(
                cell.now - since < DUE_MS,
                "{left} items of step {id} are left, {} of {} runs were refused",
                cell.refused,
                cell.runs
            );
        }
    }
    // A run that is refused costs a connection and the next run's delay.
    let (refused, runs) = (cell.refused, cell.runs);
    assert!(refused * 20 < runs, "{refused} of {runs} runs refused");
    assert_eq!(cell.busy, 0, "orders to engines that load");
}
