//! The run: an event queue in virtual time around one job.

use std::collections::BTreeMap;

use dandelion_kernel::Machine;
use dandelion_protocol::config::Job;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;
use dandelion_rollout::Coordinator;
use dandelion_rollout::LedgerTable;
use dandelion_rollout::coordinator::Answer;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::coordinator::RolloutCounts;
use dandelion_rollout::coordinator::Settings;
use dandelion_rollout::coordinator::Token;
use dandelion_rollout::coordinator::settings::TICK;
use dandelion_rollout::ledger::LedgerCommand;
use dandelion_rollout::payload::PayloadStore;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::bench::checks::Checks;
use crate::bench::engine::Engine;
use crate::bench::faults::Faults;
use crate::bench::faults::Mutation;
use crate::bench::trainer::Trainer;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub job: Job,
    pub settings: Settings,
    pub faults: Faults,
    pub mutation: Option<Mutation>,
    /// Groups fed in all, and in one request.
    pub groups: u64,
    pub feed: u64,
    pub engines: usize,
    pub slots: usize,
    /// Milliseconds for one token.
    pub pace: f64,
    /// Chance, in millionths a second, that an engine becomes eight times slower for a while.
    pub slow: u32,
    /// Median tokens of a sample.
    pub median: f64,
    /// Time to train a step, in milliseconds.
    pub train: u64,
    /// When faults end and when the run does, in milliseconds.
    pub calm: u64,
    pub end: u64,
}

/// A daemon.
#[derive(Debug)]
pub struct Host {
    pub id: DaemonId,
    pub incarnation: u64,
    pub coordinator: Option<Coordinator>,
    pub store: PayloadStore,
}

/// Something that happens at a time.
#[derive(Debug)]
pub enum Happening {
    Event(usize, u64, Box<Event>),
    Apply(usize, u64, Token, Box<LedgerCommand>, bool),
    Stream(usize, u64),
    Swap(usize, WeightVersion),
    Slow(usize, f64),
    Answer(u64, Box<Answer>),
    Trained(u32, u64),
    Pull(u32),
    GaveUp(u64),
    Renew(u32),
    Feed,
    Tick,
    Second,
}

/// A run.
#[derive(Debug)]
pub struct World {
    pub plan: Plan,
    pub now: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    order: u64,
    pub rng: StdRng,
    pub table: LedgerTable,
    pub hosts: Vec<Host>,
    pub engines: Vec<Engine>,
    pub routes: BTreeMap<u64, (usize, u64)>,
    pub trainer: Trainer,
    pub intruder: u64,
    pub fed: u64,
    pub feeding: Option<u64>,
    pub refeed: Option<(u64, u64)>,
    pub tickets: u64,
    pub authorised: WeightVersion,
    pub checks: Checks,
    pub counts: Vec<RolloutCounts>,
    pub log_bytes: u64,
    pub log_entries: u64,
    pub steps: u64,
}

/// Returns true with a chance in thousandths.
pub fn chance(rng: &mut StdRng, permille: u32) -> bool {
    permille > 0 && rng.random_range(0..1000) < permille
}

impl World {
    pub fn open(plan: Plan) -> Self {
        let hosts = (0..4).map(|index| Host {
            id: format!("daemon-{index}").parse().unwrap(),
            incarnation: 1,
            coordinator: None,
            store: PayloadStore::open(1 << 34),
        });
        let engines = (0..plan.engines).map(|index| Engine {
            name: format!("engine-{index}").parse().unwrap(),
            boot: Incarnation(1),
            version: WeightVersion(0),
            ordered: WeightVersion(0),
            pace: plan.pace,
            slots: plan.slots,
            streams: BTreeMap::new(),
            made: 0,
        });
        let mut world = Self {
            now: 0,
            queue: BTreeMap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            table: LedgerTable::default(),
            hosts: hosts.collect(),
            engines: engines.collect(),
            routes: BTreeMap::new(),
            trainer: Trainer::new(),
            intruder: 0,
            fed: 0,
            feeding: None,
            refeed: None,
            tickets: 0,
            authorised: WeightVersion(0),
            checks: Checks::default(),
            counts: Vec::new(),
            log_bytes: 0,
            log_entries: 0,
            steps: 0,
            plan,
        };
        world.lead(0);
        for happening in [
            Happening::Tick,
            Happening::Second,
            Happening::Feed,
            Happening::Pull(1),
        ] {
            world.after(1, happening);
        }
        world
    }

    pub fn after(&mut self, wait: u64, happening: Happening) {
        self.order += 1;
        self.queue.insert((self.now + wait, self.order), happening);
    }

    /// Runs until every fed group was handed out or the time is over.
    pub fn run(&mut self) {
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > self.plan.end || self.is_over() {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.happen(happening);
        }
        for index in 0..self.hosts.len() {
            self.retire(index);
        }
        self.checks
            .finish(self.plan.groups, self.plan.job.group_size);
    }

    pub fn is_over(&self) -> bool {
        let size = u64::from(self.plan.job.group_size);
        let given = self.checks.taken / size + self.checks.dropped.len() as u64;
        given >= self.plan.groups
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        if self.now < self.plan.calm {
            self.plan.faults
        } else {
            Faults::default()
        }
    }

    pub fn roll(&mut self, permille: u32) -> bool {
        chance(&mut self.rng, permille)
    }

    /// Opens a coordinator on a daemon.
    pub fn lead(&mut self, index: usize) {
        self.retire(index);
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        let mut actions = Vec::new();
        let coordinator = Coordinator::open(
            self.plan.job.clone(),
            host.id.clone(),
            Incarnation(host.incarnation),
            self.plan.settings,
            Millis(self.now),
            &mut actions,
        );
        host.coordinator = Some(coordinator);
        self.act(index, actions);
        let slots = self.plan.engines * self.plan.slots;
        self.send(index, Event::Capacity(slots));
    }

    pub fn retire(&mut self, index: usize) {
        if let Some(old) = self.hosts[index].coordinator.take() {
            self.counts.push(old.counts().clone());
        }
    }

    /// Hands an event to a coordinator now.
    pub fn send(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(coordinator) = &mut self.hosts[index].coordinator {
            coordinator.handle(Millis(self.now), event, &mut actions);
        }
        self.act(index, actions);
    }

    /// Hands an event to this life of a coordinator later.
    pub fn send_later(&mut self, wait: u64, index: usize, event: Event) {
        let life = self.hosts[index].incarnation;
        self.after(wait, Happening::Event(index, life, Box::new(event)));
    }

    /// Returns a daemon that believes to be in charge.
    pub fn any_leader(&mut self) -> Option<usize> {
        let leaders: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].coordinator.is_some())
            .collect();
        if leaders.is_empty() {
            return None;
        }
        Some(leaders[self.rng.random_range(0..leaders.len())])
    }

    pub fn new_ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event(index, life, event) => {
                if self.hosts[index].incarnation == life {
                    self.send(index, *event);
                }
            }
            Happening::Apply(index, life, token, command, answers) => {
                self.apply(index, life, token, *command, answers);
            }
            Happening::Stream(engine, attempt) => self.stream(engine, attempt),
            Happening::Swap(engine, version) => self.swap(engine, version),
            Happening::Slow(engine, factor) => self.engines[engine].pace = self.plan.pace * factor,
            Happening::Answer(ticket, answer) => self.on_answer(ticket, *answer),
            Happening::Trained(life, cursor) => self.on_trained(life, cursor),
            Happening::Pull(life) => self.pull(life),
            Happening::GaveUp(ticket) => self.on_gave_up(ticket),
            Happening::Renew(life) => self.renew(life),
            Happening::Feed => self.feed(),
            Happening::Tick => self.tick(),
            Happening::Second => self.second(),
        }
    }

    fn tick(&mut self) {
        for index in 0..self.hosts.len() {
            self.send(index, Event::Tick);
        }
        self.after(TICK.0, Happening::Tick);
    }

    fn second(&mut self) {
        self.after(1000, Happening::Second);
        let faults = self.faults();
        if self.roll(faults.daemon_killed)
            && let Some(index) = self.any_leader()
        {
            self.retire(index);
            self.hosts[index].incarnation += 1;
            self.hosts[index].store = PayloadStore::open(1 << 34);
        }
        let leaderless = self.any_leader().is_none();
        if leaderless || self.roll(faults.takeover) {
            let index = self.rng.random_range(0..self.hosts.len());
            // Half of the changes are planned or seen by the daemon before; the rest are not.
            if self.roll(500) {
                for old in 0..self.hosts.len() {
                    self.send(old, Event::Resign);
                }
            }
            self.lead(index);
        }
        if self.roll(faults.publish) {
            let version = self.newest() + 1;
            self.publish(version);
        }
        if self.roll(faults.intruder) {
            self.intrude();
        }
        self.disturb_engines(&faults);
    }

    fn disturb_engines(&mut self, faults: &Faults) {
        for engine in 0..self.engines.len() {
            if self.roll(faults.engine_killed) {
                self.kill_engine(engine, faults.silent_restart);
            }
            if self.plan.slow > 0 && self.rng.random_range(0..1_000_000) < self.plan.slow {
                self.engines[engine].pace = self.plan.pace * 8.0;
                let span = self.rng.random_range(20_000..90_000);
                self.after(span, Happening::Slow(engine, 1.0));
            }
        }
    }
}
