//! The simulation of one job: an event queue in virtual time.

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
use dandelion_rollout::coordinator::ProposalId;
use dandelion_rollout::coordinator::RolloutCounts;
use dandelion_rollout::coordinator::Settings;
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

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub job: Job,
    pub settings: Settings,
    pub faults: Faults,
    pub mutation: Option<Mutation>,
    /// Groups fed in total.
    pub groups: u64,
    /// Groups fed in one request.
    pub feed: u64,
    pub engines: usize,
    /// Concurrent requests of an engine.
    pub slots: usize,
    /// Time per output token, in milliseconds.
    pub tpot: f64,
    /// Probability per second, in millionths, that an engine becomes eight times slower for 20 to
    /// 90 seconds.
    pub slowdown: u32,
    /// Median length of a sample in tokens.
    pub median: f64,
    /// Time to train a step, in milliseconds.
    pub train_ms: u64,
    /// Time at which the faults end, in milliseconds.
    pub faults_end: u64,
    /// Time limit of the run, in milliseconds.
    pub end: u64,
}

/// A simulated daemon.
#[derive(Debug)]
pub struct Host {
    pub id: DaemonId,
    pub incarnation: u64,
    pub coordinator: Option<Coordinator>,
    pub store: PayloadStore,
}

/// An event of the simulation. Hosts and engines are named by index, attempts and tickets by
/// number; an event for an earlier incarnation is dropped.
#[derive(Debug)]
pub enum SimEvent {
    Event(usize, u64, Box<Event>),
    Apply(usize, u64, ProposalId, Box<LedgerCommand>, bool),
    Stream(usize, u64),
    Swap(usize, WeightVersion),
    Slow(usize, f64),
    Answer(u64, Box<Answer>),
    Trained(u32, u64),
    Pull(u32),
    Timeout(u64),
    Renew(u32),
    Feed,
    Tick,
    Second,
}

/// A running simulation.
#[derive(Debug)]
pub struct Simulation {
    pub scenario: Scenario,
    pub now: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    order: u64,
    pub rng: StdRng,
    pub table: LedgerTable,
    pub hosts: Vec<Host>,
    pub engines: Vec<Engine>,
    /// Host and incarnation that started each running attempt.
    pub routes: BTreeMap<u64, (usize, u64)>,
    pub trainer: Trainer,
    /// Ticket of the last pull of the second trainer process.
    pub intruder: u64,
    pub fed: u64,
    /// Ticket of the unanswered feed.
    pub feeding: Option<u64>,
    /// First group and count of lost prompts that are to be fed again.
    pub refeed: Option<(u64, u64)>,
    pub tickets: u64,
    /// Newest version in the ledger when it last accepted a pull or a batch.
    pub granted_version: WeightVersion,
    pub checks: Checks,
    pub counts: Vec<RolloutCounts>,
    pub log_bytes: u64,
    pub log_entries: u64,
    pub steps: u64,
}

/// Returns true with the given probability in thousandths.
pub fn chance(rng: &mut StdRng, permille: u32) -> bool {
    permille > 0 && rng.random_range(0..1000) < permille
}

impl Simulation {
    pub fn open(scenario: Scenario) -> Self {
        let hosts = (0..4).map(|index| Host {
            id: format!("daemon-{index}").parse().unwrap(),
            incarnation: 1,
            coordinator: None,
            store: PayloadStore::open(1 << 34),
        });
        let engines = (0..scenario.engines).map(|index| Engine {
            name: format!("engine-{index}").parse().unwrap(),
            boot: Incarnation(1),
            version: WeightVersion(0),
            ordered: WeightVersion(0),
            tpot: scenario.tpot,
            slots: scenario.slots,
            streams: BTreeMap::new(),
            generated: 0,
        });
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(scenario.seed),
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
            granted_version: WeightVersion(0),
            checks: Checks::default(),
            counts: Vec::new(),
            log_bytes: 0,
            log_entries: 0,
            steps: 0,
            scenario,
        };
        simulation.open_coordinator(0);
        for sim_event in [
            SimEvent::Tick,
            SimEvent::Second,
            SimEvent::Feed,
            SimEvent::Pull(1),
        ] {
            simulation.after(1, sim_event);
        }
        simulation
    }

    pub fn after(&mut self, wait: u64, sim_event: SimEvent) {
        self.order += 1;
        self.queue.insert((self.now + wait, self.order), sim_event);
    }

    /// Runs until every group is received or dropped, or until the time limit.
    pub fn run(&mut self) {
        while let Some(((at, _), sim_event)) = self.queue.pop_first() {
            if at > self.scenario.end || self.is_over() {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.process(sim_event);
        }
        for index in 0..self.hosts.len() {
            self.drop_coordinator(index);
        }
        self.checks
            .finish(self.scenario.groups, self.scenario.job.group_size);
    }

    pub fn is_over(&self) -> bool {
        let size = u64::from(self.scenario.job.group_size);
        let finished = self.checks.received / size + self.checks.dropped.len() as u64;
        finished >= self.scenario.groups
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        if self.now < self.scenario.faults_end {
            self.scenario.faults
        } else {
            Faults::default()
        }
    }

    pub fn roll(&mut self, permille: u32) -> bool {
        chance(&mut self.rng, permille)
    }

    /// Opens a coordinator on a daemon.
    pub fn open_coordinator(&mut self, index: usize) {
        self.drop_coordinator(index);
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        let mut actions = Vec::new();
        let coordinator = Coordinator::open(
            self.scenario.job.clone(),
            host.id.clone(),
            Incarnation(host.incarnation),
            self.scenario.settings,
            Millis(self.now),
            &mut actions,
        );
        host.coordinator = Some(coordinator);
        self.carry_out(index, actions);
        let slots = self.scenario.engines * self.scenario.slots;
        self.send(index, Event::Capacity(slots));
    }

    pub fn drop_coordinator(&mut self, index: usize) {
        if let Some(old) = self.hosts[index].coordinator.take() {
            self.counts.push(old.counts().clone());
        }
    }

    /// Sends an event to a coordinator immediately.
    pub fn send(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(coordinator) = &mut self.hosts[index].coordinator {
            coordinator.handle(Millis(self.now), event, &mut actions);
        }
        self.carry_out(index, actions);
    }

    /// Sends an event to a coordinator after a delay, unless its daemon is restarted before.
    pub fn send_later(&mut self, wait: u64, index: usize, event: Event) {
        let incarnation = self.hosts[index].incarnation;
        self.after(wait, SimEvent::Event(index, incarnation, Box::new(event)));
    }

    /// Returns a random daemon with a coordinator.
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

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Event(index, incarnation, event) => {
                if self.hosts[index].incarnation == incarnation {
                    self.send(index, *event);
                }
            }
            SimEvent::Apply(index, incarnation, proposal, command, answers) => {
                self.apply(index, incarnation, proposal, *command, answers);
            }
            SimEvent::Stream(engine, attempt) => self.stream(engine, attempt),
            SimEvent::Swap(engine, version) => self.swap(engine, version),
            SimEvent::Slow(index, factor) => self.engines[index].tpot = self.scenario.tpot * factor,
            SimEvent::Answer(ticket, answer) => self.on_answer(ticket, *answer),
            SimEvent::Trained(incarnation, cursor) => self.on_trained(incarnation, cursor),
            SimEvent::Pull(incarnation) => self.pull(incarnation),
            SimEvent::Timeout(ticket) => self.on_timeout(ticket),
            SimEvent::Renew(incarnation) => self.renew(incarnation),
            SimEvent::Feed => self.feed(),
            SimEvent::Tick => self.tick(),
            SimEvent::Second => self.second(),
        }
    }

    fn tick(&mut self) {
        for index in 0..self.hosts.len() {
            self.send(index, Event::Tick);
        }
        self.after(TICK.0, SimEvent::Tick);
    }

    fn second(&mut self) {
        self.after(1000, SimEvent::Second);
        let faults = self.faults();
        if self.roll(faults.daemon_killed)
            && let Some(index) = self.any_leader()
        {
            self.drop_coordinator(index);
            self.hosts[index].incarnation += 1;
            self.hosts[index].store = PayloadStore::open(1 << 34);
        }
        let leaderless = self.any_leader().is_none();
        if leaderless || self.roll(faults.takeover) {
            let index = self.rng.random_range(0..self.hosts.len());
            // In half of the changes the earlier coordinators resign; in the rest they do not.
            if self.roll(500) {
                for old in 0..self.hosts.len() {
                    self.send(old, Event::Resign);
                }
            }
            self.open_coordinator(index);
        }
        if self.roll(faults.publish) {
            let version = self.newest() + 1;
            self.publish(version);
        }
        if self.roll(faults.intruder) {
            self.intrude();
        }
        self.inject_engine_faults(&faults);
    }

    fn inject_engine_faults(&mut self, faults: &Faults) {
        for engine in 0..self.engines.len() {
            if self.roll(faults.engine_killed) {
                self.restart_engine(engine, faults.silent_restart);
            }
            if self.scenario.slowdown > 0
                && self.rng.random_range(0..1_000_000) < self.scenario.slowdown
            {
                self.engines[engine].tpot = self.scenario.tpot * 8.0;
                let span = self.rng.random_range(20_000..90_000);
                self.after(span, SimEvent::Slow(engine, 1.0));
            }
        }
    }
}
