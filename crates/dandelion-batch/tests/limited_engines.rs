//! Engines that name a limit get no more runs than permits were granted.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::Permits;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::time::Millis;
use quickcheck::quickcheck;

use support::job;
use support::service;

const SLOTS: u32 = 4;
const ITEMS: usize = 20;

/// Time after which an ask without a reply may be repeated.
const LOST_TIME: Millis = Millis(1_000);

fn engine(id: &str, born: u64) -> UpstreamIncarnation {
    support::engine(id, born, SLOTS)
}

/// The scheduler, with what it has asked for.
struct Harness {
    scheduler: Scheduler,
    now: Millis,
    /// Runs in progress, with their engines and the numbers of their permits.
    runs: BTreeMap<RunId, (UpstreamIncarnation, Option<u64>)>,
    /// Permits asked for and not yet granted or denied, and when they were asked for.
    asked: BTreeMap<UpstreamId, (UpstreamIncarnation, u32, Millis)>,
    /// Permits granted so far.
    granted: u64,
}

impl Harness {
    /// Opens a job on the given engines, of which those in `limited` name a limit.
    fn open(engines: &[&str], limited: &[&str]) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::default(),
            now: Millis(1_000),
            runs: BTreeMap::new(),
            asked: BTreeMap::new(),
            granted: 0,
        };
        harness.update_engines(engines, 1, limited);
        let job = job("j", ITEMS);
        harness.handle(Event::Opened {
            job: &job,
            open: vec![true; ITEMS],
            service: Some(service()),
            kept: Vec::new(),
        });
        harness
    }

    fn update_engines(&mut self, engines: &[&str], born: u64, limited: &[&str]) {
        let engines: Vec<_> = engines.iter().map(|id| (engine(id, born), None)).collect();
        let limited: BTreeSet<UpstreamId> = limited.iter().map(|id| id.parse().unwrap()).collect();
        self.handle(Event::Engines {
            engines: &engines,
            limited: &limited,
        });
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Run {
                    run,
                    engine,
                    permit,
                    ..
                } => {
                    assert!(permit.is_none_or(|p| self.now <= p.until));
                    let number = permit.map(|p| p.number.number);
                    self.runs.insert(run, (engine, number));
                }
                Action::Ask { engine, count } => {
                    let ask = (engine.clone(), count, self.now);
                    let earlier = self.asked.insert(engine.id, ask);
                    let is_lost = |at: Millis| self.now >= at + LOST_TIME;
                    assert!(earlier.is_none_or(|(_, _, at)| is_lost(at)), "asked twice");
                }
                Action::Cancel(run) => {
                    self.runs.remove(&run);
                }
                Action::Move(_) | Action::Order { .. } | Action::GiveUp { .. } => (),
            }
        }
    }

    /// Answers what was asked for an engine with up to `count` permits.
    fn grant(&mut self, id: &str, count: u32) {
        if let Some((engine, wanted, _)) = self.asked.remove(&id.parse().unwrap()) {
            self.reply(&engine, count.min(wanted));
        }
    }

    fn reply(&mut self, engine: &UpstreamIncarnation, count: u32) {
        let permits = Permits {
            first: PermitNumber {
                term: Term(1),
                number: self.granted + 1,
            },
            count,
            until: self.now + Millis(300),
        };
        self.granted += u64::from(count);
        self.handle(Event::Permitted {
            engine,
            permits: (count > 0).then_some(permits),
            wait: Millis(100),
        });
    }

    fn tick(&mut self, elapsed: u64) {
        self.now = self.now + Millis(elapsed);
        self.handle(Event::Tick);
    }

    fn runs_on(&self, id: &str) -> usize {
        let id: UpstreamId = id.parse().unwrap();
        let same = self.runs.values().filter(|(engine, _)| engine.id == id);
        same.count()
    }

    fn asked_for(&self, id: &str) -> Option<u32> {
        self.asked.get(&id.parse().unwrap()).map(|(_, n, _)| *n)
    }

    fn finish_all(&mut self) {
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for run in runs {
            self.runs.remove(&run);
            let outcome = RunOutcome::Finished {
                version: None,
                speed: None,
            };
            self.handle(Event::RunEnded { run, outcome });
        }
    }
}

#[test]
fn limited_engine_overrun() {
    let mut harness = Harness::open(&["a"], &["a"]);
    assert_eq!(harness.runs_on("a"), 0);
    assert_eq!(harness.asked_for("a"), Some(SLOTS));
    harness.grant("a", 2);
    assert_eq!(harness.runs_on("a"), 2);
    harness.tick(50);
    assert_eq!(harness.asked_for("a"), None);
    harness.tick(50);
    assert_eq!(harness.asked_for("a"), Some(SLOTS - 2));
    harness.grant("a", 0);
    harness.tick(50);
    assert_eq!(harness.runs_on("a"), 2);
}

#[test]
fn expired_permit_used() {
    let mut harness = Harness::open(&["a"], &["a"]);
    harness.grant("a", SLOTS);
    assert_eq!(harness.runs_on("a"), 4);
    harness.tick(400);
    harness.finish_all();
    assert_eq!(harness.runs_on("a"), 0);
    assert!(harness.asked_for("a").is_some());
}

#[test]
fn room_elsewhere_unused() {
    let mut harness = Harness::open(&["a", "b"], &["a"]);
    assert_eq!(harness.runs_on("b"), SLOTS as usize);
    assert_eq!(harness.asked_for("a"), Some(SLOTS));
    harness.grant("a", 0);
    harness.finish_all();
    assert_eq!(harness.runs_on("b"), SLOTS as usize);
}

#[test]
fn permits_hoarded() {
    let engines: Vec<String> = (0..9).map(|n| format!("e{n}")).collect();
    let engines: Vec<&str> = engines.iter().map(String::as_str).collect();
    let mut harness = Harness::open(&engines, &engines);
    let wanted: u32 = engines.iter().filter_map(|id| harness.asked_for(id)).sum();
    assert_eq!(wanted as usize, ITEMS);
    for id in &engines {
        harness.grant(id, SLOTS);
    }
    assert_eq!(harness.runs.len(), ITEMS);
    assert!(harness.asked.is_empty());
}

#[test]
fn returned_engine_unlimited() {
    let mut harness = Harness::open(&["a"], &["a"]);
    harness.asked.clear();
    harness.update_engines(&[], 1, &[]);
    harness.update_engines(&["a"], 1, &["a"]);
    assert_eq!(harness.runs_on("a"), 0);
}

#[test]
fn ended_limit_kept() {
    let mut harness = Harness::open(&["a"], &["a"]);
    assert_eq!(harness.runs_on("a"), 0);
    harness.update_engines(&["a"], 1, &[]);
    assert_eq!(harness.runs_on("a"), SLOTS as usize);
}

#[test]
fn former_permits_used() {
    let mut harness = Harness::open(&["a"], &["a"]);
    harness.asked.clear();
    harness.update_engines(&["a"], 2, &["a"]);
    harness.reply(&engine("a", 1), SLOTS);
    assert_eq!(harness.runs_on("a"), 0);
    harness.grant("a", 1);
    assert_eq!(harness.runs_on("a"), 1);
}

quickcheck! {
    fn runs_exceed_permits(steps: Vec<(u8, u8)>) -> bool {
        let limited = ["a", "b"];
        let mut harness = Harness::open(&["a", "b", "c"], &limited);
        let mut used = BTreeSet::new();
        for (what, n) in steps {
            match what % 4 {
                0 => harness.grant("a", u32::from(n)),
                1 => harness.grant("b", u32::from(n)),
                2 => harness.tick(u64::from(n)),
                _ => {
                    harness.finish_all();
                    let job = job(&format!("j{n}"), ITEMS);
                    let open = vec![true; ITEMS];
                    let service = Some(service());
                    harness.handle(Event::Opened {
                        job: &job,
                        open,
                        service,
                        kept: Vec::new(),
                    });
                }
            }
            for (run, (engine, number)) in &harness.runs {
                let is_limited = limited.contains(&engine.id.as_str());
                assert_eq!(number.is_some(), is_limited);
                used.extend(number.map(|number| (number, *run)));
            }
        }
        let numbers: BTreeSet<u64> = used.iter().map(|(number, _)| *number).collect();
        numbers.len() == used.len() && numbers.iter().all(|number| *number <= harness.granted)
    }
}
