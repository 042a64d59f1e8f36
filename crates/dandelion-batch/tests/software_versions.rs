//! Outputs of interrupted runs, beside engines of several software versions.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::KeptOutput;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use quickcheck::quickcheck;

use support::engine;
use support::job;
use support::service;

const ITEMS: usize = 4;
const TICK: Millis = Millis(25);

fn software(version: &str) -> SoftwareVersion {
    SoftwareVersion(version.to_owned())
}

fn engine_of(id: u16, born: u64, version: &str) -> UpstreamIncarnation {
    UpstreamIncarnation {
        software: software(version),
        ..engine(&format!("e{id}"), born, 2)
    }
}

fn kept(version: &str, events: u64) -> KeptOutput {
    KeptOutput {
        software: software(version),
        events,
    }
}

/// A run as the I/O layer knows it.
#[derive(Debug, Clone)]
struct Run {
    item: usize,
    engine: UpstreamIncarnation,
    continues: bool,
}

struct Harness {
    scheduler: Scheduler,
    now: Millis,
    running: BTreeMap<RunId, Run>,
}

impl Harness {
    fn open(
        engines: &[UpstreamIncarnation],
        items: usize,
        outputs: &[(usize, KeptOutput)],
    ) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::default(),
            now: Millis(1_000),
            running: BTreeMap::new(),
        };
        harness.update(engines);
        harness.handle(Event::Opened {
            job: &job("j", items),
            open: vec![true; items],
            service: Some(service()),
            kept: outputs.to_vec(),
        });
        harness
    }

    fn update(&mut self, engines: &[UpstreamIncarnation]) {
        let engines: Vec<_> = engines.iter().map(|e| (e.clone(), None)).collect();
        self.handle(Event::Engines {
            engines: &engines,
            limited: &BTreeSet::new(),
        });
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Run {
                    run,
                    item,
                    engine,
                    continues,
                    ..
                } => {
                    let started = Run {
                        item,
                        engine,
                        continues,
                    };
                    self.running.insert(run, started);
                }
                Action::Cancel(run) => {
                    self.running.remove(&run);
                }
                _ => (),
            }
        }
    }

    /// Ends a run that leaves an output, as the I/O layer does.
    fn interrupt(&mut self, run: RunId, events: u64) {
        let Some(ended) = self.running.remove(&run) else {
            return;
        };
        if events > 0 {
            self.handle(Event::Kept {
                job: "j",
                item: ended.item,
                output: kept(&ended.engine.software.0, events),
            });
        }
        let outcome = RunOutcome::Broken { reached: true };
        self.handle(Event::RunEnded { run, outcome });
    }

    fn tick(&mut self, span: u64) {
        self.now = self.now + Millis(span);
        self.handle(Event::Tick);
    }

    fn run_of(&self, item: usize) -> Option<&Run> {
        self.running.values().find(|run| run.item == item)
    }
}

#[test]
fn continued_at_other_software() {
    let engines = [engine_of(1, 1, "v1"), engine_of(2, 1, "v2")];
    let harness = Harness::open(&engines, 1, &[(0, kept("v2", 30))]);
    let run = harness.run_of(0).unwrap();
    assert_eq!(
        (run.engine.software.0.as_str(), run.continues),
        ("v2", true)
    );
}

#[test]
fn dropped_while_engine_frees() {
    let full = UpstreamIncarnation {
        slots: 0,
        ..engine_of(1, 1, "v1")
    };
    let engines = [full, engine_of(2, 1, "v2")];
    let mut harness = Harness::open(&engines, 1, &[(0, kept("v1", 10))]);
    harness.tick(300);
    assert!(harness.run_of(0).is_none(), "waits for an engine of v1");
    harness.update(&[engine_of(1, 1, "v1"), engine_of(2, 1, "v2")]);
    let run = harness.run_of(0).unwrap();
    assert_eq!(
        (run.engine.software.0.as_str(), run.continues),
        ("v1", true)
    );
}

#[test]
fn waits_longer_than_anew() {
    let full = UpstreamIncarnation {
        slots: 0,
        ..engine_of(1, 1, "v1")
    };
    let engines = [full, engine_of(2, 1, "v2")];
    let mut harness = Harness::open(&engines, 1, &[(0, kept("v1", 10))]);
    harness.tick(400);
    let run = harness.run_of(0).unwrap();
    assert_eq!(
        (run.engine.software.0.as_str(), run.continues),
        ("v2", false)
    );
}

#[test]
fn waits_for_engine_that_is_gone() {
    for outputs in [kept("v1", 100), kept("", 100)] {
        let harness = Harness::open(&[engine_of(2, 1, "v2")], 1, &[(0, outputs)]);
        assert!(!harness.run_of(0).unwrap().continues);
    }
    let unknown = Harness::open(&[engine_of(2, 1, "")], 1, &[(0, kept("", 100))]);
    assert!(!unknown.run_of(0).unwrap().continues, "nobody can tell");
}

#[test]
fn moved_to_other_software() {
    let engines = [
        engine_of(1, 1, "v1"),
        engine_of(2, 1, "v2"),
        engine_of(3, 1, "v2"),
    ];
    let mut harness = Harness::open(&engines, ITEMS, &[]);
    let mut moves = Vec::new();
    for round in 0..20_u64 {
        let runs: Vec<(RunId, String)> = harness
            .running
            .iter()
            .map(|(id, run)| (*id, run.engine.software.0.clone()))
            .collect();
        for (run, version) in runs {
            let span = if version == "v1" { 2_000 } else { 100 };
            let speed = Speed {
                events: 6,
                span: Millis(span + round),
            };
            let mut actions = Vec::new();
            let event = Event::Progress { run, speed };
            harness.scheduler.handle(harness.now, event, &mut actions);
            moves.extend(actions);
        }
        harness.tick(100);
    }
    assert!(
        moves.is_empty(),
        "only v1 is slow, and its only engine: {moves:?}"
    );
}

/// Whatever engines come, go and come back with another version, a run that continues an output is on
/// an engine of the version that generated it, and every item gets a run in the end.
#[test]
fn output_of_two_versions() {
    fn prop(steps: Vec<(u8, u8, u8)>) -> bool {
        let versions = ["v1", "v2", ""];
        let mut engines: Vec<UpstreamIncarnation> = (0..3)
            .map(|n| engine_of(n, 1, versions[usize::from(n % 2)]))
            .collect();
        let mut harness = Harness::open(&engines, ITEMS, &[]);
        let mut outputs: [Option<SoftwareVersion>; ITEMS] = Default::default();
        let mut seen = BTreeSet::new();
        let mut born = 1;
        for (kind, which, amount) in steps {
            match kind % 3 {
                0 => {
                    born += 1;
                    let at = usize::from(which % 3);
                    let version = versions[usize::from(amount % 3)];
                    engines[at] = engine_of(at as u16, born, version);
                    let ends = harness
                        .running
                        .iter()
                        .filter(|(_, r)| r.engine.id == engines[at].id);
                    for (_, run) in ends {
                        // A cancelled run drops its output.
                        outputs[run.item] = None;
                    }
                    harness.update(&engines);
                }
                1 => {
                    let runs: Vec<RunId> = harness.running.keys().copied().collect();
                    if let Some(run) = runs.get(usize::from(which) % runs.len().max(1)) {
                        let ended = harness.running[run].clone();
                        // A run that continues an output leaves at least that.
                        let events = u64::from(amount % 20).max(u64::from(ended.continues));
                        if events > 0 {
                            outputs[ended.item] = Some(ended.engine.software.clone());
                        }
                        harness.interrupt(*run, events);
                    }
                }
                _ => harness.tick(u64::from(amount) * 4),
            }
            for (id, run) in &harness.running {
                if !seen.insert(*id) {
                    continue;
                }
                let output = outputs[run.item].take();
                let fits = output.is_some_and(|o| o.may_continue_at(&run.engine.software));
                if run.continues && !fits {
                    return false;
                }
            }
        }
        harness.update(&[engine_of(7, 1, "v3"), engine_of(8, 1, "v3")]);
        for _ in 0..400 {
            harness.tick(TICK.0);
        }
        (0..ITEMS).all(|item| harness.run_of(item).is_some())
    }
    quickcheck(prop as fn(Vec<(u8, u8, u8)>) -> bool);
}
