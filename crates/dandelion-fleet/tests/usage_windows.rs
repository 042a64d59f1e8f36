//! Usage windows under random schedules of killed daemons, lost and repeated submissions, and
//! leader changes: every recorded token is billed exactly once.

use std::collections::BTreeMap;

use dandelion_fleet::usage::CopyStore;
use dandelion_fleet::usage::UsageCommand;
use dandelion_fleet::usage::UsageCounters;
use dandelion_fleet::usage::UsageReply;
use dandelion_fleet::usage::UsageTable;
use dandelion_fleet::usage::WindowFigures;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::Counts;
use dandelion_protocol::usage::TeamCounts;
use dandelion_protocol::usage::WindowId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DAEMONS: usize = 4;
const LENGTH: Millis = Millis(1000);
const SCHEDULES: u64 = 400;
const STEPS: usize = 120;

struct Daemon {
    id: DaemonId,
    incarnation: Incarnation,
    counters: UsageCounters,
    copies: CopyStore,
}

struct Simulation {
    rng: StdRng,
    wall: u64,
    revision: u64,
    table: UsageTable,
    daemons: Vec<Daemon>,
    outbox: Vec<CounterReport>,
    /// Output tokens of all recorded work.
    recorded: u64,
    platform: BTreeMap<WindowId, WindowFigures>,
    /// Reports whose figures differ from an earlier report of the same window.
    differing: u32,
    /// Whether counters are copied to another daemon directly after each piece of work.
    copies_first: bool,
}

impl Simulation {
    fn open(seed: u64, copies_first: bool) -> Self {
        let daemons = (0..DAEMONS).map(|i| daemon(i, 1, WindowId(0))).collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            wall: 0,
            revision: 0,
            table: UsageTable::default(),
            daemons,
            outbox: Vec::new(),
            recorded: 0,
            platform: BTreeMap::new(),
            differing: 0,
            copies_first,
        }
    }

    fn window(&self) -> WindowId {
        WindowId(self.wall / LENGTH.0)
    }

    fn apply(&mut self, command: UsageCommand) -> Result<UsageReply, Rejection> {
        self.revision += 1;
        let context = ApplyContext {
            revision: Revision(self.revision),
            at: WallMillis(self.wall),
            author: "test",
        };
        self.table.apply(&context, command)
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0..=4 => self.work(),
            5 => self.tick(),
            6 | 7 => self.collect(),
            8 => self.deliver(),
            9 => self.kill(),
            10 => self.freeze(),
            _ => self.report(),
        }
    }

    fn work(&mut self) {
        let index = self.rng.random_range(0..DAEMONS);
        let tokens = self.rng.random_range(1..50);
        let team = format!("team-{}", tokens % 3).parse().unwrap();
        let counts = Counts {
            requests: 1,
            prompt_tokens: 0,
            output_tokens: tokens,
            busy_ms: 1,
        };
        self.daemons[index]
            .counters
            .record(&team, Class::Interactive, &counts);
        self.recorded += tokens;
        if self.copies_first {
            self.copy(index);
        }
    }

    fn copy(&mut self, index: usize) {
        let holder = (index + 1) % DAEMONS;
        for report in self.daemons[index].counters.reports() {
            self.daemons[holder].copies.keep(report);
        }
    }

    fn tick(&mut self) {
        self.wall += self.rng.random_range(1..800);
        let window = self.window();
        for index in 0..DAEMONS {
            self.daemons[index].counters.advance(window);
        }
    }

    fn collect(&mut self) {
        let index = self.rng.random_range(0..DAEMONS);
        let reports = self.daemons[index].counters.reports();
        self.outbox.extend(reports);
    }

    fn deliver(&mut self) {
        if self.outbox.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.outbox.len());
        let report = self.outbox[index].clone();
        if self.rng.random_bool(0.5) {
            self.outbox.swap_remove(index);
        }
        self.apply(UsageCommand::Submit(report)).unwrap();
    }

    /// Kills a daemon. The holder of its copies submits on its behalf, and it restarts with a new
    /// incarnation.
    fn kill(&mut self) {
        let index = self.rng.random_range(0..DAEMONS);
        let incarnation = self.daemons[index].incarnation.next();
        let id = self.daemons[index].id.clone();
        let holder = (index + 1) % DAEMONS;
        let lost = self.daemons[holder]
            .copies
            .take_ended(&id, Some(incarnation));
        self.outbox.extend(lost);
        let window = self.window();
        let copies = std::mem::take(&mut self.daemons[index].copies);
        self.daemons[index] = daemon(index, incarnation.0, window);
        self.daemons[index].copies = copies;
    }

    fn freeze(&mut self) {
        let Some(window) = self.table.next_window() else {
            return;
        };
        let command = UsageCommand::Freeze {
            window,
            length: LENGTH,
        };
        let ended = self.wall >= (window.0 + 1) * LENGTH.0;
        assert_eq!(self.apply(command).is_ok(), ended);
    }

    /// Reports the oldest unaccepted window. The answer may be lost; then the report is repeated.
    fn report(&mut self) {
        let Some(due) = self.table.next_report() else {
            return;
        };
        let figures = due.figures.clone();
        let window = figures.window;
        let earlier = self.platform.insert(window, figures.clone());
        self.differing += u32::from(earlier.is_some_and(|e| e != figures));
        if self.rng.random_bool(0.6) {
            self.apply(UsageCommand::Accept { window }).unwrap();
        }
    }

    /// Submits all outstanding reports and freezes enough windows to bill them.
    fn flush(&mut self) {
        for index in 0..DAEMONS {
            let reports = self.daemons[index].counters.reports();
            self.outbox.extend(reports);
        }
        for report in std::mem::take(&mut self.outbox) {
            self.apply(UsageCommand::Submit(report)).unwrap();
        }
        self.wall += 2 * LENGTH.0;
        while let Some(window) = self.table.next_window() {
            let command = UsageCommand::Freeze {
                window,
                length: LENGTH,
            };
            if self.apply(command).is_err() {
                break;
            }
        }
    }

    fn billed(&self) -> u64 {
        let frozen = self.table.frozen();
        frozen
            .flat_map(|w| w.figures.usage.iter().chain(&w.figures.late))
            .map(|c: &TeamCounts| c.counts.output_tokens)
            .sum()
    }
}

fn daemon(index: usize, incarnation: u64, window: WindowId) -> Daemon {
    let id: DaemonId = format!("d{index}").parse().unwrap();
    Daemon {
        id: id.clone(),
        incarnation: Incarnation(incarnation),
        counters: UsageCounters::open(id, Incarnation(incarnation), window),
        copies: CopyStore::default(),
    }
}

fn run(seed: u64, copies_first: bool) -> (u64, u64, u32) {
    let mut simulation = Simulation::open(seed, copies_first);
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation.flush();
    (
        simulation.recorded,
        simulation.billed(),
        simulation.differing,
    )
}

#[test]
fn billed_once() {
    for seed in 0..SCHEDULES {
        let (recorded, billed, differing) = run(seed, true);
        assert_eq!((billed, differing), (recorded, 0), "seed {seed}");
    }
}

/// Without copies, what a killed daemon has not submitted is lost, and the comparison of recorded
/// and billed tokens must show it.
#[test]
fn loss_without_copies() {
    let wrong = (0..SCHEDULES).filter(|seed| {
        let (recorded, billed, _) = run(*seed, false);
        recorded != billed
    });
    assert!(wrong.count() > 0, "counting without copies must lose usage");
}

#[test]
fn frozen_unchanged() {
    let mut simulation = Simulation::open(1, true);
    simulation.work();
    simulation.collect();
    let reports = simulation.daemons[0].counters.reports();
    simulation
        .apply(UsageCommand::Submit(reports[0].clone()))
        .unwrap();
    simulation.wall = 5 * LENGTH.0;
    let freeze = UsageCommand::Freeze {
        window: WindowId(0),
        length: LENGTH,
    };
    let first = simulation.apply(freeze.clone()).unwrap();
    simulation.work();
    simulation.deliver();
    assert_eq!(simulation.apply(freeze).unwrap(), first);
}

#[test]
fn late_usage_separate() {
    let mut simulation = Simulation::open(1, true);
    let early = simulation.daemons[0].counters.reports().remove(0);
    simulation.apply(UsageCommand::Submit(early)).unwrap();
    simulation.wall = LENGTH.0;
    let freeze = |window| UsageCommand::Freeze {
        window: WindowId(window),
        length: LENGTH,
    };
    simulation.apply(freeze(0)).unwrap();
    while simulation.daemons[0].counters.reports()[0]
        .totals
        .is_empty()
    {
        simulation.work();
    }
    let late = simulation.daemons[0].counters.reports().remove(0);
    let reply = simulation.apply(UsageCommand::Submit(late)).unwrap();
    assert_eq!(reply, UsageReply::Submitted { late: true });
    simulation.wall = 2 * LENGTH.0;
    let UsageReply::Frozen(figures) = simulation.apply(freeze(1)).unwrap() else {
        panic!("expected frozen figures");
    };
    assert!(figures.usage.is_empty());
    assert!(!figures.late.is_empty());
}

#[test]
fn length_fixed() {
    let mut simulation = Simulation::open(1, true);
    let early = simulation.daemons[0].counters.reports().remove(0);
    simulation.apply(UsageCommand::Submit(early)).unwrap();
    simulation.wall = 10 * LENGTH.0;
    let freeze = |window, length| UsageCommand::Freeze {
        window: WindowId(window),
        length: Millis(length),
    };
    simulation.apply(freeze(0, LENGTH.0)).unwrap();
    let other = simulation.apply(freeze(1, 2 * LENGTH.0));
    assert!(matches!(other, Err(Rejection::Invalid { .. })));
}
