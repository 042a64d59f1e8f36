//! Items whose engines crash, in bursts and with new incarnations, are placed until each has a
//! result.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use quickcheck::quickcheck;

use support::engine;
use support::job;
use support::service;

const ENGINES: u16 = 3;
const ITEMS: usize = 6;

/// Ticks of calm within which every item must have a result.
const CALM_TICKS: usize = 400;
const TICK: Millis = Millis(25);

fn life(n: u16, born: u64) -> UpstreamIncarnation {
    engine(&format!("e{n}"), born, 2)
}

/// The scheduler with an I/O layer that publishes the result of a run unless it was cancelled.
struct Harness {
    scheduler: Scheduler,
    now: Millis,
    born: BTreeMap<u16, u64>,
    running: BTreeMap<RunId, (usize, UpstreamIncarnation)>,
    results: [usize; ITEMS],
    cancelled: Vec<RunId>,
}

impl Harness {
    fn open() -> Self {
        let mut harness = Self {
            scheduler: Scheduler::default(),
            now: Millis(1_000),
            born: (1..=ENGINES).map(|n| (n, 1)).collect(),
            running: BTreeMap::new(),
            results: [0; ITEMS],
            cancelled: Vec::new(),
        };
        harness.update_engines();
        let job = job("j", ITEMS);
        harness.handle(Event::Opened {
            job: &job,
            open: vec![true; ITEMS],
            service: Some(service()),
            kept: Vec::new(),
        });
        harness
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Run {
                    run, item, engine, ..
                } => {
                    self.running.insert(run, (item, engine));
                }
                Action::Cancel(run) => {
                    self.running.remove(&run);
                    self.cancelled.push(run);
                }
                Action::GiveUp { item, .. } => panic!("item {item} is given up"),
                Action::Move(_) | Action::Order { .. } | Action::Ask { .. } => (),
            }
        }
    }

    fn update_engines(&mut self) {
        let lives: Vec<_> = self
            .born
            .iter()
            .map(|(n, born)| (life(*n, *born), None))
            .collect();
        self.handle(Event::Engines {
            engines: &lives,
            limited: &BTreeSet::new(),
        });
    }

    fn lose(&mut self, engine: u16) {
        self.born.remove(&engine);
        self.update_engines();
    }

    fn start(&mut self, engine: u16, born: u64) {
        self.born.insert(engine, born);
        self.update_engines();
    }

    fn finish(&mut self, run: RunId) {
        if let Some((item, _)) = self.running.remove(&run) {
            self.results[item] += 1;
        }
        let outcome = RunOutcome::Finished {
            version: Some(1),
            speed: None,
        };
        self.handle(Event::RunEnded { run, outcome });
    }

    fn interrupt(&mut self, run: RunId) {
        self.running.remove(&run);
        let outcome = RunOutcome::Broken { reached: true };
        self.handle(Event::RunEnded { run, outcome });
    }

    fn run_on(&self, engine: u16) -> Option<RunId> {
        let id = life(engine, 1).id;
        let mut runs = self.running.iter();
        runs.find(|(_, (_, e))| e.id == id).map(|(run, _)| *run)
    }

    /// Lets every engine run and every run finish.
    fn calm(&mut self) {
        for engine in 1..=ENGINES {
            self.start(engine, 1_000);
        }
        for _ in 0..CALM_TICKS {
            self.now = self.now + TICK;
            self.handle(Event::Tick);
            let runs: Vec<RunId> = self.running.keys().copied().collect();
            for run in runs {
                self.finish(run);
            }
        }
    }
}

#[test]
fn result_dropped_by_cancel_is_generated_again() {
    let mut harness = Harness::open();
    let run = harness.run_on(1).unwrap();
    harness.lose(1);
    // The run had finished, but its engine was gone before the result was taken.
    harness.finish(run);
    harness.calm();
    assert_eq!(harness.results, [1; ITEMS]);
}

#[test]
fn replaced_engine_frees_its_items() {
    let mut harness = Harness::open();
    let run = harness.run_on(1).unwrap();
    harness.start(1, 2);
    assert!(harness.cancelled.contains(&run));
}

#[test]
fn old_run_charges_no_new_engine() {
    let mut harness = Harness::open();
    let run = harness.run_on(1).unwrap();
    harness.start(1, 2);
    harness.interrupt(run);
    let engine = &harness.scheduler.engines()[&life(1, 2).id];
    assert!(!engine.is_paused(harness.now));
}

quickcheck! {
    fn burst_leaves_no_item_behind(steps: Vec<(u8, u16)>) -> bool {
        let mut harness = Harness::open();
        for (born, (kind, pause)) in (2_u64..).zip(steps) {
            let engine = u16::from(kind) % ENGINES + 1;
            let run = harness.run_on(engine);
            match (kind / 8 % 5, run) {
                (0, Some(run)) => harness.finish(run),
                (1, Some(run)) => harness.interrupt(run),
                (2, _) => harness.lose(engine),
                (3, Some(run)) => {
                    harness.lose(engine);
                    harness.finish(run);
                }
                _ => harness.start(engine, born),
            }
            harness.now = harness.now + Millis(u64::from(pause % 500));
            harness.handle(Event::Tick);
        }
        harness.calm();
        harness.results.iter().all(|count| *count >= 1)
    }
}

/// An engine that is not at fault is not paused for a run that was not sent to it.
#[test]
fn withheld_run_pauses_engine() {
    let mut harness = Harness::open();
    let (run, _) = harness.running.pop_first().unwrap();
    let outcome = RunOutcome::Withheld;
    harness.handle(Event::RunEnded { run, outcome });
    harness.now = harness.now + TICK;
    harness.handle(Event::Tick);
    assert_eq!(harness.running.len(), ITEMS);
}
