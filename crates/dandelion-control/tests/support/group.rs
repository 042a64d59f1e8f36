//! A simulated control group and the daemons that it feeds.

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
use dandelion_protocol::control::Proposal;
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
use crate::support::network::NetworkFaults;
use crate::support::tally;
use crate::support::vm::Node;
use crate::support::vm::SimVm;

/// Simulated milliseconds between two ticks.
pub const STEP_MS: u64 = 10;

/// Size, timing and faults of a simulated group.
#[derive(Debug, Clone, Copy)]
pub struct GroupOptions {
    /// Number of control daemons.
    pub control: usize,
    /// Target number of voters.
    pub voters: usize,
    /// Number of those control daemons that are no initial members and join later.
    pub added: usize,
    /// Number of daemons that hold no replica.
    pub plain: usize,
    pub fault: Option<Fault>,
    pub skip_sync: bool,
    pub compact_bytes: u64,
    pub timing: Timing,
    /// Greatest rate at which clocks run fast or slow, in parts per million.
    pub drift_ppm: i64,
    /// Network faults in place of randomly drawn ones.
    pub network_faults: Option<NetworkFaults>,
}

impl GroupOptions {
    pub fn of(control: usize) -> Self {
        Self {
            control,
            voters: control,
            added: 0,
            plain: 1,
            fault: None,
            skip_sync: false,
            compact_bytes: 4096,
            timing: quick_timing(),
            drift_ppm: 9_900,
            network_faults: None,
        }
    }
}

/// A fifth of the default values, so that simulated schedules are short.
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
    pub vms: Vec<SimVm>,
    pub network: Network,
    pub checks: Checks,
    pub answers: BTreeMap<u64, Vec<Result<Answer, ProposeError>>>,
    pub changes: Vec<Result<(), ChangeError>>,
    /// Reports of leaders on missing voters.
    pub reports: Vec<NodeAction>,
    inboxes: Vec<Vec<NodeEvent>>,
    numbers: BTreeMap<DaemonId, usize>,
}

impl Group {
    pub fn start(options: GroupOptions, seed: u64) -> Self {
        let initial = options.control - options.added;
        let peers = (0..initial).map(name).collect::<Vec<_>>();
        let total = options.control + options.plain;
        let mut vms = Vec::new();
        for number in 0..total {
            let zone = format!("zone-{}", number % 3).parse().unwrap();
            let mut settings = NodeSettings::new(name(number), zone, peers.clone());
            settings.voters = options.voters;
            settings.added = number >= initial;
            settings.timing = options.timing;
            settings.compact_bytes = options.compact_bytes;
            settings.fault = options.fault;
            let disk = (number < options.control).then(|| SimDisk::new(seed + number as u64));
            if let Some(disk) = disk.iter().find(|_| options.skip_sync) {
                disk.skip_syncs();
            }
            vms.push(SimVm::new(settings, disk, &peers));
        }
        let mut group = Self {
            now: 1000,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            vms,
            network: Network::default(),
            checks: Checks::default(),
            answers: BTreeMap::new(),
            changes: Vec::new(),
            reports: Vec::new(),
            inboxes: vec![Vec::new(); total],
            numbers: (0..total).map(|n| (name(n), n)).collect(),
        };
        for number in 0..total {
            group.restart(number);
        }
        group
    }

    pub fn restart(&mut self, number: usize) {
        let seed = self.seed * 100 + number as u64;
        let started = self.vms[number].start(self.now, seed);
        match started {
            Ok(()) => {}
            Err(StorageError::Io { .. } | StorageError::Full { .. }) => {
                self.vms[number].kill(self.now + 50);
            }
            Err(error) => self
                .checks
                .fail(format!("vm-{number} does not start: {error}")),
        }
    }

    pub fn node(&self, number: usize) -> Option<&Node> {
        self.vms[number].node.as_ref()
    }

    /// Returns the control daemon that holds the leader lease, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|number| {
            let clock = self.vms[*number].clock(self.now);
            let node = self.node(*number);
            node.is_some_and(|n| n.leased_term(clock, Millis::ZERO).is_some())
        })
    }

    pub fn propose(&mut self, number: usize, ticket: u64) {
        self.propose_command(number, ticket, tally::count(ticket));
    }

    pub fn propose_command(&mut self, number: usize, ticket: u64, proposal: Proposal) {
        self.inboxes[number].push(NodeEvent::Propose { ticket, proposal });
    }

    pub fn event(&mut self, number: usize, event: NodeEvent) {
        self.inboxes[number].push(event);
    }

    /// Advances time by one step and checks the invariants.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        for delivery in self.network.take_due(self.now) {
            self.deliver(delivery);
        }
        for number in 0..self.vms.len() {
            let vm = &self.vms[number];
            if vm.client.is_none() && self.now >= vm.down_until {
                self.restart(number);
            }
            if self.vms[number].is_running(self.now) {
                self.free_disk(number);
                self.run_node(number);
                self.run_client(number, FeedEvent::Tick);
            }
        }
        self.checks.check(self.now, &mut self.vms);
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end && self.checks.failure.is_none() {
            self.step();
        }
    }

    /// Runs until `done` holds, for at most `millis`; returns whether it did.
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

    fn deliver(&mut self, delivery: Delivery) {
        let from = name(delivery.from);
        let to = delivery.to;
        if self.vms[to].client.is_none() {
            return;
        }
        match delivery.message {
            MeshMessage::Raft(bytes) => self.inboxes[to].push(NodeEvent::Raft { from, bytes }),
            MeshMessage::Feed(bytes) => {
                let event = NodeEvent::Feed {
                    from: from.clone(),
                    bytes: bytes.clone(),
                };
                self.inboxes[to].push(event);
                if self.vms[to].is_running(self.now) {
                    self.run_client(to, FeedEvent::Message { from, bytes });
                }
            }
            _ => {}
        }
    }

    /// Ends the time in which a disk is full, and opens the node again if it has failed.
    fn free_disk(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.full_until.is_some_and(|until| until <= self.now) {
            vm.full_until = None;
            if let Some(disk) = &vm.disk {
                disk.set_full(false);
            }
        }
        vm.reopen(self.now, self.seed ^ self.now);
    }

    fn run_node(&mut self, number: usize) {
        let mut events = std::mem::take(&mut self.inboxes[number]);
        events.push(NodeEvent::Tick);
        let vm = &mut self.vms[number];
        let clock = vm.clock(self.now);
        let Some(node) = vm.node.as_mut().filter(|_| !vm.failed) else {
            return;
        };
        let mut actions = Vec::new();
        let wall = WallMillis(clock.0);
        match node.step(clock, wall, events, &mut actions) {
            Ok(()) => {}
            Err(StorageError::Full { .. }) => {
                vm.failed = true;
                return;
            }
            Err(_) => {
                vm.kill(self.now + 100);
                return;
            }
        }
        for action in actions {
            self.perform(number, action);
        }
    }

    fn perform(&mut self, number: usize, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => self.send(number, &to, message),
            NodeAction::Answer { ticket, result } => {
                self.checks.check_answer(ticket, &result);
                self.answers.entry(ticket).or_default().push(result);
            }
            NodeAction::Changed { result, .. } => self.changes.push(result),
            NodeAction::WithdrawVote { .. }
            | NodeAction::Short { .. }
            | NodeAction::Complete { .. } => self.reports.push(action),
            NodeAction::Lead { .. }
            | NodeAction::Follow
            | NodeAction::HandOver { .. }
            | NodeAction::Applied { .. } => {}
        }
    }

    fn run_client(&mut self, number: usize, event: FeedEvent) {
        let vm = &mut self.vms[number];
        let clock = vm.clock(self.now);
        let Some(client) = vm.client.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        client.handle(clock, event, &mut actions);
        for action in actions {
            if let FeedAction::Send { to, message } = action {
                self.send(number, &to, *message);
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

    /// Describes the state of every VM, for failure messages.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        for vm in &self.vms {
            let clock = vm.clock(self.now);
            let leased = vm
                .client
                .as_ref()
                .map(|c| (c.revision(), c.lease_valid(clock)));
            let status = vm.node.as_ref().map(|n| n.status(clock));
            let name = &vm.settings.daemon;
            text = format!("{text}\n{name} copy {leased:?} {status:?}");
        }
        text
    }

    /// Ends all faults of network, VMs and disks.
    pub fn heal(&mut self) {
        self.network.heal();
        for vm in &mut self.vms {
            vm.paused_until = 0;
            vm.down_until = 0;
            vm.full_until = None;
            if let Some(disk) = &vm.disk {
                disk.set_full(false);
                disk.cancel_crash();
            }
        }
    }

    /// Returns whether a daemon holds the leader lease, every control daemon has its revision, and
    /// every daemon has a feed lease.
    pub fn is_converged(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let revision = self.node(leader).map(Node::revision);
        self.vms.iter().all(|vm| {
            let node = vm.node.as_ref().map(Node::revision);
            let client = vm.client.as_ref();
            let leased = client.is_some_and(|c| c.lease_valid(vm.clock(self.now)));
            leased && (vm.disk.is_none() || node == revision)
        })
    }
}
