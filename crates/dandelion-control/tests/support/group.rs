//! A simulated control group with its daemons.

use std::collections::BTreeMap;

use dandelion_control::Timing;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ChangeError;
use dandelion_control::raft::Fault;
use dandelion_control::storage::StorageError;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::checks::Checks;
use crate::support::disk::SimDisk;
use crate::support::network::Delivery;
use crate::support::network::Network;
use crate::support::network::Weather;
use crate::support::tally;
use crate::support::vm::Node;
use crate::support::vm::Slot;

/// Simulated milliseconds between two ticks.
pub const STEP: u64 = 10;

/// Shape of a simulated group.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub control: usize,
    /// Voters wanted.
    pub voters: usize,
    pub plain: usize,
    pub fault: Option<Fault>,
    pub skip_sync: bool,
    pub compact_bytes: u64,
    pub timing: Timing,
    /// Most by which clocks run fast or slow.
    pub drift_ppm: i64,
    /// Weather in place of a drawn one.
    pub weather: Option<Weather>,
}

impl Shape {
    pub fn of(control: usize) -> Self {
        Self {
            control,
            voters: control,
            plain: 1,
            fault: None,
            skip_sync: false,
            compact_bytes: 4096,
            timing: quick_timing(),
            drift_ppm: 9_900,
            weather: None,
        }
    }
}

/// A fifth of the production values, so that schedules are short.
pub fn quick_timing() -> Timing {
    Timing {
        heartbeat: Millis(40),
        promise: Millis(200),
        election_jitter: Millis(120),
        feed_period: Millis(100),
        feed_lease: Millis(400),
        report_gap: Millis(10),
        replace_after: Millis(1_200),
        rejoin_after: Millis(600),
    }
}

pub fn name(number: usize) -> DaemonId {
    format!("vm-{number}").parse().unwrap()
}

#[derive(Debug)]
pub struct Group {
    pub now: u64,
    pub rng: SmallRng,
    pub seed: u64,
    pub slots: Vec<Slot>,
    pub network: Network,
    pub checks: Checks,
    pub answers: BTreeMap<u64, Vec<Result<Answer, ProposeError>>>,
    pub changes: Vec<Result<(), ChangeError>>,
    queues: Vec<Vec<NodeEvent>>,
    numbers: BTreeMap<DaemonId, usize>,
}

impl Group {
    pub fn start(shape: Shape, seed: u64) -> Self {
        let peers = (0..shape.control).map(name).collect::<Vec<_>>();
        let total = shape.control + shape.plain;
        let mut slots = Vec::new();
        for number in 0..total {
            let zone = format!("zone-{}", number % 3).parse().unwrap();
            let mut settings = NodeSettings::new(name(number), zone, peers.clone());
            settings.voters = shape.voters;
            settings.timing = shape.timing;
            settings.compact_bytes = shape.compact_bytes;
            settings.fault = shape.fault;
            let disk = (number < shape.control).then(|| SimDisk::new(seed + number as u64));
            if let Some(disk) = disk.iter().find(|_| shape.skip_sync) {
                disk.skip_syncs();
            }
            slots.push(Slot::new(settings, disk, &peers));
        }
        let mut group = Self {
            now: 1000,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            slots,
            network: Network::default(),
            checks: Checks::default(),
            answers: BTreeMap::new(),
            changes: Vec::new(),
            queues: vec![Vec::new(); total],
            numbers: (0..total).map(|n| (name(n), n)).collect(),
        };
        for number in 0..total {
            group.restart(number);
        }
        group
    }

    pub fn restart(&mut self, number: usize) {
        let seed = self.seed * 100 + number as u64;
        let started = self.slots[number].start(self.now, seed);
        match started {
            Ok(()) => {}
            Err(StorageError::Io { .. }) => self.slots[number].kill(self.now + 50),
            Err(error) => self
                .checks
                .fail(format!("vm-{number} does not start: {error}")),
        }
    }

    pub fn node(&self, number: usize) -> Option<&Node> {
        self.slots[number].node.as_ref()
    }

    /// Returns the control daemon that is in charge, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.slots.len()).find(|number| {
            let clock = self.slots[*number].clock(self.now);
            let node = self.node(*number);
            node.is_some_and(|n| n.leased_term(clock, Millis::ZERO).is_some())
        })
    }

    pub fn propose(&mut self, number: usize, ticket: u64) {
        let proposal = tally::count(ticket);
        self.queues[number].push(NodeEvent::Propose { ticket, proposal });
    }

    pub fn event(&mut self, number: usize, event: NodeEvent) {
        self.queues[number].push(event);
    }

    /// Lets one step of time pass and checks the invariants.
    pub fn step(&mut self) {
        self.now += STEP;
        for delivery in self.network.arrivals(self.now) {
            self.arrive(delivery);
        }
        for number in 0..self.slots.len() {
            let slot = &self.slots[number];
            if slot.client.is_none() && self.now >= slot.down {
                self.restart(number);
            }
            if self.slots[number].runs(self.now) {
                self.run_node(number);
                self.run_client(number, FeedEvent::Tick);
            }
        }
        self.checks.check(self.now, &mut self.slots);
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end && self.checks.failure.is_none() {
            self.step();
        }
    }

    /// Runs until `done`, for at most `millis`; returns whether it came true.
    pub fn run_until<F>(&mut self, millis: u64, done: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let end = self.now + millis;
        while !done(self) {
            if self.now >= end || self.checks.failure.is_some() {
                return false;
            }
            self.step();
        }
        true
    }

    fn arrive(&mut self, delivery: Delivery) {
        let from = name(delivery.from);
        let to = delivery.to;
        if self.slots[to].client.is_none() {
            return;
        }
        match delivery.message {
            MeshMessage::Raft(bytes) => self.queues[to].push(NodeEvent::Raft { from, bytes }),
            MeshMessage::Feed(bytes) => {
                let event = NodeEvent::Feed {
                    from: from.clone(),
                    bytes: bytes.clone(),
                };
                self.queues[to].push(event);
                if self.slots[to].runs(self.now) {
                    self.run_client(to, FeedEvent::Message { from, bytes });
                }
            }
            _ => {}
        }
    }

    fn run_node(&mut self, number: usize) {
        let mut events = std::mem::take(&mut self.queues[number]);
        events.push(NodeEvent::Tick);
        let slot = &mut self.slots[number];
        let clock = slot.clock(self.now);
        let Some(node) = slot.node.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        let wall = WallMillis(clock.0);
        if node.step(clock, wall, events, &mut actions).is_err() {
            slot.kill(self.now + 100);
            return;
        }
        for action in actions {
            self.carry_out(number, action);
        }
    }

    fn carry_out(&mut self, number: usize, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => self.send(number, &to, message),
            NodeAction::Answer { ticket, result } => {
                self.checks.answer(ticket, &result);
                self.answers.entry(ticket).or_default().push(result);
            }
            NodeAction::Changed { result, .. } => self.changes.push(result),
            NodeAction::Lead { .. } | NodeAction::Follow | NodeAction::Applied { .. } => {}
        }
    }

    fn run_client(&mut self, number: usize, event: FeedEvent) {
        let slot = &mut self.slots[number];
        let clock = slot.clock(self.now);
        let Some(client) = slot.client.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        client.handle(clock, event, &mut actions);
        for action in actions {
            if let FeedAction::Send { to, message } = action {
                self.send(number, &to, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: &DaemonId, message: MeshMessage) {
        let Some(to) = self.numbers.get(to).copied() else {
            return;
        };
        let delivery = Delivery { from, to, message };
        self.network.send(self.now, &mut self.rng, &delivery);
    }

    /// Describes every VM, for failure messages.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for slot in &self.slots {
            let clock = slot.clock(self.now);
            let leased = slot
                .client
                .as_ref()
                .map(|c| (c.revision(), c.lease_valid(clock)));
            let status = slot.node.as_ref().map(|n| n.status(clock));
            let name = &slot.settings.daemon;
            text = format!("{text}\n{name} copy {leased:?} {status:?}");
        }
        text
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.network.heal();
        for slot in &mut self.slots {
            slot.paused = 0;
            slot.down = 0;
            if let Some(disk) = &slot.disk {
                disk.set_full(false);
                disk.put_out_fuse();
            }
        }
    }

    /// Returns whether a leader is in charge and everyone holds what it holds.
    pub fn is_whole(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let revision = self.node(leader).map(Node::revision);
        self.slots.iter().all(|slot| {
            let node = slot.node.as_ref().map(Node::revision);
            let client = slot.client.as_ref();
            let leased = client.is_some_and(|c| c.lease_valid(slot.clock(self.now)));
            leased && (slot.disk.is_none() || node == revision)
        })
    }
}
