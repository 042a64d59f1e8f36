//! The scheduler with batch jobs of one step on engines with a fixed number of slots, under
//! failures, loads of new versions and slow engines.

use std::collections::BTreeSet;

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

const SLOTS: u32 = 4;

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn life(n: u16) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: format!("e{n}").parse().unwrap(),
        born: WallMillis(1),
        service: service(),
        address: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: SLOTS,
        ready: true,
        software: SoftwareVersion("v1".to_owned()),
    }
}

fn report(n: u16, version: u64) -> IncarnationReport {
    IncarnationReport {
        life: life(n),
        sequence: 1,
        versions: [("m".to_owned(), version)].into(),
        cold_left: None,
    }
}

/// Creates a job in groups of two items; `outputs` has the expected output tokens of each item.
fn job(id: &str, outputs: &[u64], min_version: u64, needed: u32) -> BatchJob {
    let item = |(n, output): (usize, &u64)| BatchItem {
        id: format!("{id}-{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 100_000,
        expected: Some(*output),
        model: Some("m".to_owned()),
        group: format!("g{}", n / 2),
        scoring: None,
    };
    BatchJob {
        id: id.to_owned(),
        team: "builders".parse().unwrap(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        min_version,
        wanted: needed,
        due: Millis(7_500),
        keep: Millis(40_000),
        attempts: 3,
        pure: false,
        resumable: true,
        items: outputs.iter().enumerate().map(item).collect(),
    }
}

struct Harness {
    scheduler: Scheduler,
    now: Millis,
}

impl Harness {
    fn open(engines: u16) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::default(),
            now: Millis(1_000),
        };
        let lives: Vec<_> = (1..=engines).map(|n| (life(n), Some(1_000_000))).collect();
        harness.handle(Event::Engines {
            engines: &lives,
            limited: &BTreeSet::new(),
        });
        for n in 1..=engines {
            harness.handle(Event::Reported(&report(n, 1)));
        }
        harness
    }

    fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        actions
    }

    fn submit(&mut self, job: &BatchJob) -> Vec<Action> {
        self.handle(Event::Opened {
            job,
            open: vec![true; job.items.len()],
            service: Some(service()),
            kept: Vec::new(),
        })
    }

    fn end(&mut self, run: RunId, outcome: RunOutcome) -> Vec<Action> {
        self.handle(Event::RunEnded { run, outcome })
    }

    fn tick(&mut self, span: u64) -> Vec<Action> {
        self.now = self.now + Millis(span);
        self.handle(Event::Tick)
    }
}

fn runs(actions: &[Action]) -> Vec<(RunId, usize, String)> {
    let runs = actions.iter().filter_map(|a| match a {
        Action::Run {
            run, item, engine, ..
        } => Some((*run, *item, engine.id.to_string())),
        _ => None,
    });
    runs.collect()
}

fn finished() -> RunOutcome {
    RunOutcome::Finished {
        version: Some(1),
        speed: None,
    }
}

#[test]
fn slot_limit() {
    let mut harness = Harness::open(2);
    let started = runs(&harness.submit(&job("j", &[100; 20], 1, 10)));
    assert_eq!(started.len(), 8);
    for engine in ["e1", "e2"] {
        assert_eq!(started.iter().filter(|(_, _, e)| e == engine).count(), 4);
    }
    let next = runs(&harness.end(started[0].0, finished()));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].2, started[0].2);
}

/// Ends of runs and reports that arrive together start nothing one by one, and everything at the end.
#[test]
fn events_share_pass() {
    let mut harness = Harness::open(10);
    let started = runs(&harness.submit(&job("j", &[100; 100], 1, 50)));
    assert_eq!(started.len(), 40);
    let mut actions = Vec::new();
    for (run, _, _) in &started {
        let outcome = finished();
        let ended = Event::RunEnded { run: *run, outcome };
        assert!(harness.scheduler.record(harness.now, ended, &mut actions));
    }
    let later = report(3, 1);
    let reported = Event::Reported(&later);
    assert!(
        harness
            .scheduler
            .record(harness.now, reported, &mut actions)
    );
    assert_eq!(actions, []);
    harness.scheduler.advance(harness.now, &mut actions);
    assert_eq!(runs(&actions).len(), 40);
    let full = |n| harness.scheduler.engines()[&life(n).id].runs == SLOTS;
    assert!((1..=10).all(full));
}

/// The trainer waits for two of three groups: those with the shortest items go first, and of their
/// items the longest.
#[test]
fn needed_groups_first() {
    let mut harness = Harness::open(1);
    let started = runs(&harness.submit(&job("j", &[900, 10, 50, 40, 70, 60], 1, 2)));
    let items: Vec<usize> = started.iter().map(|(_, item, _)| *item).collect();
    assert_eq!(items, [4, 5, 2, 3]);
}

#[test]
fn old_weights_wait() {
    let mut harness = Harness::open(2);
    assert!(runs(&harness.submit(&job("j", &[10, 10], 2, 1))).is_empty());
    let started = runs(&harness.handle(Event::Reported(&report(2, 2))));
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|(_, _, engine)| engine == "e2"));
}

#[test]
fn late_report_lowers_version() {
    let mut harness = Harness::open(1);
    let newest = IncarnationReport {
        sequence: 9,
        ..report(1, 5)
    };
    harness.handle(Event::Reported(&newest));
    harness.handle(Event::Reported(&report(1, 4)));
    let started = runs(&harness.submit(&job("j", &[10, 10], 5, 1)));
    assert_eq!(started.len(), 2);
}

#[test]
fn stale_run_repeated() {
    let mut harness = Harness::open(2);
    let started = runs(&harness.submit(&job("j", &[10, 10], 1, 1)));
    let (run, item, _) = started[0].clone();
    let again = runs(&harness.end(run, RunOutcome::Stale(0)));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, item);
}

#[test]
fn full_engine_probed() {
    let mut harness = Harness::open(1);
    let started = runs(&harness.submit(&job("j", &[10; 8], 1, 4)));
    for (run, _, _) in &started {
        assert!(runs(&harness.end(*run, RunOutcome::Refused)).is_empty());
    }
    let probes = runs(&harness.tick(1_000));
    assert_eq!(
        probes.len(),
        1,
        "one run tests whether the engine has slots"
    );
    let more = runs(&harness.handle(Event::Began(probes[0].0)));
    assert_eq!(more.len(), 3);
}

#[test]
fn failed_thrice() {
    let mut harness = Harness::open(2);
    let mut actions = harness.submit(&job("j", &[10], 1, 1));
    for attempt in 1..=3 {
        let started = runs(&actions);
        assert_eq!(started.len(), 1, "attempt {attempt}");
        actions = harness.end(started[0].0, RunOutcome::Failed);
        if attempt < 3 {
            actions = harness.tick(200);
        }
    }
    assert!(matches!(actions[..], [Action::GiveUp { item: 0, .. }]));
    assert!(harness.scheduler.jobs().is_empty());
}

#[test]
fn impossible_given_up() {
    let mut harness = Harness::open(1);
    let started = runs(&harness.submit(&job("j", &[10, 10], 1, 1)));
    let actions = harness.end(started[0].0, RunOutcome::Impossible);
    assert!(matches!(actions[..], [Action::GiveUp { .. }]));
}

/// A broken connection does not count as a failure of the item, which is run elsewhere without a
/// limit.
#[test]
fn broken_run_repeated() {
    let mut harness = Harness::open(3);
    let mut started = runs(&harness.submit(&job("j", &[10], 1, 1)));
    for _ in 0..10 {
        let previous = started[0].2.clone();
        let actions = harness.end(started[0].0, RunOutcome::Broken { reached: true });
        started = runs(&actions);
        if started.is_empty() {
            started = runs(&harness.tick(3_000));
        } else {
            assert_ne!(started[0].2, previous);
        }
        assert_eq!(started.len(), 1);
    }
}

#[test]
fn ended_job_cancelled() {
    let mut harness = Harness::open(1);
    let started = runs(&harness.submit(&job("j", &[10, 10], 1, 1)));
    let actions = harness.handle(Event::Ended("j"));
    let cancelled = actions
        .iter()
        .filter(|a| matches!(a, Action::Cancel(_)))
        .count();
    assert_eq!(cancelled, started.len());
    assert!(runs(&harness.tick(100)).is_empty());
}

#[test]
fn gone_engine_cancels() {
    let mut harness = Harness::open(2);
    harness.submit(&job("j", &[10; 8], 1, 4));
    let remaining = [(life(2), Some(1_000_000))];
    let actions = harness.handle(Event::Engines {
        engines: &remaining,
        limited: &BTreeSet::new(),
    });
    let cancelled = actions
        .iter()
        .filter(|a| matches!(a, Action::Cancel(_)))
        .count();
    assert_eq!(cancelled, 4);
}

fn orders(actions: &[Action]) -> Vec<(String, u64)> {
    let orders = actions.iter().filter_map(|a| match a {
        Action::Order {
            engine, version, ..
        } => Some((engine.id.to_string(), *version)),
        _ => None,
    });
    orders.collect()
}

/// Of ten engines two load at a time, each once, until all have the version.
#[test]
fn staggered_loads() {
    let mut harness = Harness::open(10);
    let mut actions = harness.handle(Event::Named {
        model: "m",
        version: 2,
    });
    let mut loaded: Vec<String> = Vec::new();
    for _ in 0..400 {
        let sent = orders(&actions);
        assert!(sent.len() <= 2);
        for (engine, version) in sent {
            assert_eq!(version, 2);
            assert!(!loaded.contains(&engine), "{engine} was ordered twice");
            loaded.push(engine.clone());
            let id = engine.parse().unwrap();
            harness.handle(Event::OrderEnded {
                engine: &id,
                model: "m",
                version,
                outcome: OrderOutcome::Accepted,
            });
        }
        actions = harness.tick(25);
    }
    assert_eq!(loaded.len(), 10);
    let engines = harness.scheduler.engines().values();
    let behind = engines.filter(|e| !e.may_serve(harness.now, Some("m"), 2));
    assert_eq!(behind.count(), 0);
}

#[test]
fn unanswered_order() {
    let mut harness = Harness::open(1);
    let actions = harness.handle(Event::Named {
        model: "m",
        version: 2,
    });
    assert_eq!(orders(&actions).len(), 1);
    let id = "e1".parse().unwrap();
    let failed = Event::OrderEnded {
        engine: &id,
        model: "m",
        version: 2,
        outcome: OrderOutcome::Failed,
    };
    assert!(orders(&harness.handle(failed)).is_empty());
    assert!(orders(&harness.tick(500)).is_empty());
    assert_eq!(orders(&harness.tick(1_500)).len(), 1);
}

fn speed(interval: u64) -> Speed {
    Speed {
        events: 10,
        span: Millis(10 * interval),
    }
}

/// One of three engines turns slow: its run is moved, and no other is started there while others
/// have free slots. Once its measured speed is out of date, it is tried again.
#[test]
fn slow_engine_avoided() {
    let mut harness = Harness::open(3);
    let started = runs(&harness.submit(&job("j", &[100; 3], 1, 2)));
    assert_eq!(started.len(), 3);
    let mut moved = Vec::new();
    for (n, (run, _, _)) in started.iter().enumerate() {
        let interval = if n == 2 { 100 } else { 30 };
        let speed = speed(interval);
        moved.extend(harness.handle(Event::Progress { run: *run, speed }));
    }
    let (slow, item, engine) = started[2].clone();
    assert_eq!(moved, [Action::Move(slow)]);
    let again = runs(&harness.end(slow, RunOutcome::Moved));
    assert_eq!(again[0].1, item);
    assert_ne!(again[0].2, engine);
    let more = runs(&harness.submit(&job("k", &[100; 4], 1, 2)));
    assert!(more.iter().all(|(_, _, e)| *e != engine));
    harness.tick(5_000);
    let later = runs(&harness.submit(&job("l", &[100; 6], 1, 2)));
    assert!(later.iter().any(|(_, _, e)| *e == engine));
}

/// If all engines are equally slow, no run is moved, since a move would gain nothing.
#[test]
fn no_faster_engine() {
    let mut harness = Harness::open(2);
    let started = runs(&harness.submit(&job("j", &[100; 2], 1, 1)));
    for (run, _, _) in &started {
        let actions = harness.handle(Event::Progress {
            run: *run,
            speed: speed(100),
        });
        assert!(actions.is_empty());
    }
}

/// A step is submitted and a version named at the same moment: engines that can serve the step run
/// its items first, and load once none waits or the longest deferral is over.
#[test]
fn burst_before_loads() {
    let mut harness = Harness::open(5);
    harness.submit(&job("j", &[100; 30], 1, 10));
    let named = harness.handle(Event::Named {
        model: "m",
        version: 2,
    });
    assert!(orders(&named).is_empty());
    assert!(
        !orders(&harness.tick(2_500)).is_empty(),
        "the next version comes soon"
    );
}

#[test]
fn outdated_load_first() {
    let mut harness = Harness::open(5);
    harness.submit(&job("j", &[100; 30], 1, 10));
    let named = harness.handle(Event::Named {
        model: "m",
        version: 3,
    });
    assert_eq!(orders(&named).len(), 1);
}

/// After a takeover the engines' versions are unknown: each engine gets a single run, whose answer
/// names the version, so that a step is not sent to engines that are all too old.
#[test]
fn unknown_version() {
    let mut harness = Harness {
        scheduler: Scheduler::default(),
        now: Millis(1_000),
    };
    let engines = [(life(1), Some(1_000_000)), (life(2), Some(1_000_000))];
    harness.handle(Event::Engines {
        engines: &engines,
        limited: &BTreeSet::new(),
    });
    let started = runs(&harness.submit(&job("j", &[100; 6], 9, 1)));
    assert_eq!(started.len(), 2);
    let again = runs(&harness.end(started[0].0, RunOutcome::Stale(8)));
    assert!(again.is_empty());
    let rest = runs(&harness.handle(Event::Began(started[1].0)));
    assert_eq!(rest.len(), SLOTS as usize - 1);
}

fn two_models(engine: u16, a: u64, b: u64) -> IncarnationReport {
    IncarnationReport {
        versions: [("a".to_owned(), a), ("b".to_owned(), b)].into(),
        ..report(engine, 1)
    }
}

fn job_of(model: &str, id: &str, items: usize, min_version: u64) -> BatchJob {
    let mut job = job(id, &vec![100; items], min_version, 1);
    for item in &mut job.items {
        item.model = Some(model.to_owned());
    }
    job
}

/// A load blocks only runs of its own model: the engine still runs those of other models.
#[test]
fn other_model_runs() {
    let mut harness = Harness::open(0);
    harness.handle(Event::Engines {
        engines: &[(life(1), Some(1_000_000))],
        limited: &BTreeSet::new(),
    });
    harness.handle(Event::Reported(&two_models(1, 1, 1)));
    let named = harness.handle(Event::Named {
        model: "a",
        version: 2,
    });
    assert_eq!(orders(&named).len(), 1);
    assert_eq!(runs(&harness.submit(&job_of("b", "jb", 2, 1))).len(), 2);
    assert!(runs(&harness.submit(&job_of("a", "ja", 2, 1))).is_empty());
}

/// Two models share the loads: the one with the lowest coverage comes first, on engines that are of
/// no use to it, so that neither waits until the other is done.
#[test]
fn shared_loads() {
    let mut harness = Harness::open(0);
    let engines: Vec<(UpstreamIncarnation, Option<u64>)> =
        (1..=10).map(|n| (life(n), Some(1_000_000))).collect();
    harness.handle(Event::Engines {
        engines: &engines,
        limited: &BTreeSet::new(),
    });
    for n in 1..=10 {
        // For each model, half of the engines are too old for its next step.
        let (a, b) = if n <= 5 { (1, 2) } else { (2, 1) };
        harness.handle(Event::Reported(&two_models(n, a, b)));
    }
    harness.submit(&job_of("a", "ja", 16, 1));
    harness.submit(&job_of("b", "jb", 16, 1));
    harness.handle(Event::Ended("ja"));
    harness.handle(Event::Ended("jb"));
    let mut ordered = orders(&harness.handle(Event::Named {
        model: "a",
        version: 3,
    }));
    ordered.extend(orders(&harness.handle(Event::Named {
        model: "b",
        version: 3,
    })));
    assert_eq!(ordered.len(), 2);
    let old_a = |id: &str| id[1..].parse::<u16>().unwrap() <= 5;
    assert!(ordered.iter().all(|(engine, _)| old_a(engine)));
    let mut of_b = Vec::new();
    for _ in 0..60 {
        for action in harness.tick(25) {
            let Action::Order {
                engine,
                model,
                version,
                ..
            } = action
            else {
                continue;
            };
            if model == "b" {
                of_b.push(engine.id.to_string());
            }
            harness.handle(Event::OrderEnded {
                engine: &engine.id,
                model: &model,
                version,
                outcome: OrderOutcome::Accepted,
            });
        }
    }
    assert_eq!(
        of_b.len(),
        2,
        "after the first two of one, two of the other"
    );
    assert!(of_b.iter().all(|engine| !old_a(engine)));
}

/// An engine that refuses a run when its load should be over is still loading: it is not skipped
/// for other models, and is soon tried again.
#[test]
fn long_load() {
    let mut harness = Harness::open(0);
    harness.handle(Event::Engines {
        engines: &[(life(1), Some(1_000_000))],
        limited: &BTreeSet::new(),
    });
    harness.handle(Event::Reported(&two_models(1, 1, 1)));
    harness.submit(&job_of("a", "ja", 1, 2));
    let named = harness.handle(Event::Named {
        model: "a",
        version: 2,
    });
    assert_eq!(orders(&named).len(), 1);
    harness.handle(Event::OrderEnded {
        engine: &"e1".parse().unwrap(),
        model: "a",
        version: 2,
        outcome: OrderOutcome::Accepted,
    });
    let mut begun = Vec::new();
    while begun.is_empty() {
        begun = runs(&harness.tick(25));
    }
    let refused_at = harness.now;
    harness.end(begun[0].0, RunOutcome::Refused);
    // Another model's items run immediately, and the loaded model is tried again soon.
    assert_eq!(runs(&harness.submit(&job_of("b", "jb", 2, 1))).len(), 2);
    while runs(&harness.tick(5)).is_empty() {}
    assert!(harness.now.0 - refused_at.0 <= 150, "{:?}", harness.now);
}

/// A run that goes on through a load says nothing about its end, and doesn't keep the engine from the
/// run that does.
#[test]
fn load_beside_run() {
    let mut harness = Harness::open(0);
    harness.handle(Event::Engines {
        engines: &[(life(1), Some(1_000_000))],
        limited: &BTreeSet::new(),
    });
    harness.handle(Event::Reported(&two_models(1, 1, 1)));
    let first = runs(&harness.submit(&job_of("a", "j1", 1, 1)));
    harness.handle(Event::Began(first[0].0));
    let named = harness.handle(Event::Named {
        model: "a",
        version: 2,
    });
    assert_eq!(orders(&named).len(), 1);
    harness.handle(Event::OrderEnded {
        engine: &"e1".parse().unwrap(),
        model: "a",
        version: 2,
        outcome: OrderOutcome::Accepted,
    });
    assert!(runs(&harness.submit(&job_of("a", "j2", 3, 2))).is_empty());
    let probe = runs(&harness.tick(1_100));
    assert_eq!(probe.len(), 1);
    assert!(runs(&harness.tick(25)).is_empty());
    let rest = runs(&harness.handle(Event::Began(probe[0].0)));
    assert_eq!(rest.len(), 2);
}

#[test]
fn largest_numbers() {
    let mut harness = Harness::open(3);
    let largest = |n| UpstreamIncarnation {
        slots: u32::MAX,
        ..life(n)
    };
    let lives: Vec<_> = (1..=3).map(|n| (largest(n), Some(u64::MAX))).collect();
    harness.handle(Event::Engines {
        engines: &lives,
        limited: &BTreeSet::new(),
    });
    for n in 1..=3 {
        harness.handle(Event::Reported(&IncarnationReport {
            sequence: u64::MAX,
            versions: [("m".to_owned(), u64::MAX), ("o".to_owned(), u64::MAX)].into(),
            ..report(n, 1)
        }));
    }
    harness.handle(Event::Named {
        model: "m",
        version: u64::MAX,
    });
    let mut job = job("a", &[u64::MAX, u64::MAX, 1, 1], u64::MAX, u32::MAX);
    for item in &mut job.items {
        item.tokens = u64::MAX;
    }
    let started = harness.submit(&job);
    assert_eq!(started.len(), job.items.len());
}
