//! Measures the cost of the feed for each daemon, in bytes and processor time per simulated second,
//! at several numbers of daemons. Prints one JSON line for each role and number.
//!
//! Usage: `cargo run --release -p dandelion-control --example measure_feed -- <folder> [large]`

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use dandelion_control::ControlNode;
use dandelion_control::FeedClient;
use dandelion_control::FileStorage;
use dandelion_control::Timing;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_control::feed::FeedMessage;
use dandelion_control::feed::FeedSettings;
use dandelion_control::feed::Feeder;
use dandelion_control::feed::TableChange;
use dandelion_control::feed::Update;
use dandelion_control::feed::message::Push;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::GroupId;
use dandelion_control::raft::ReplicaId;
use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::config::CONFIG_TABLE;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::config::Team;
use dandelion_protocol::control::MEMBERS_TABLE;
use dandelion_protocol::control::MemberCommand;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

type Failure = Box<dyn std::error::Error>;

/// Number of control daemons.
const CONTROL: usize = 3;

/// Simulated time of one step, in milliseconds.
const STEP_MS: u64 = 20;

/// Simulated time before and during the measurement, in milliseconds.
const WARMUP_MS: u64 = 10_000;
const MEASURED_MS: u64 = 60_000;

/// Simulated time between two changes, in milliseconds: 7,900 changes a day.
const CHANGE_PERIOD_MS: u64 = 86_400_000 / 7_900;

/// Total traffic and processing time of the daemons of one role.
#[derive(Default)]
struct Cost {
    sent: u64,
    received: u64,
    messages: u64,
    time: Duration,
}

struct Fleet {
    now: u64,
    names: Vec<DaemonId>,
    numbers: BTreeMap<DaemonId, usize>,
    nodes: Vec<ControlNode<FileStorage>>,
    clients: Vec<FeedClient>,
    /// Messages of this step, delivered in the next one: sender, receiver, message.
    in_transit: Vec<(usize, usize, MeshMessage)>,
    plain: Cost,
    control: Cost,
    proposed: u64,
}

impl Fleet {
    fn open(folder: &std::path::Path, daemons: usize, timing: Timing) -> Result<Self, Failure> {
        let names = (0..daemons).map(|n| format!("vm-{n}").parse());
        let names = names.collect::<Result<Vec<DaemonId>, _>>()?;
        let zone = |number: usize| format!("zone-{}", number % 3).parse();
        let peers = names[..CONTROL].to_vec();
        let mut nodes = Vec::new();
        let mut feeders = Vec::new();
        for (number, daemon) in peers.iter().enumerate() {
            let path = folder.join(daemon.as_str());
            let storage = FileStorage::open(&path, ReplicaId(number as u64 + 1))?;
            let mut settings = NodeSettings::new(daemon.clone(), zone(number)?, peers.clone());
            settings.timing = timing;
            nodes.push(ControlNode::open(
                settings,
                storage,
                Millis(0),
                number as u64,
            )?);
            feeders.push(Feeder {
                daemon: daemon.clone(),
                zone: zone(number)?,
            });
        }
        let mut clients = Vec::new();
        for number in 0..daemons {
            let settings = FeedSettings {
                zone: zone(number)?,
                feeders: feeders.clone(),
                timing,
            };
            clients.push(FeedClient::open(settings, number as u64));
        }
        Ok(Self {
            now: 0,
            numbers: names.iter().cloned().zip(0..).collect(),
            names,
            nodes,
            clients,
            in_transit: Vec::new(),
            plain: Cost::default(),
            control: Cost::default(),
            proposed: 0,
        })
    }

    fn cost(&mut self, number: usize) -> &mut Cost {
        if number < CONTROL {
            &mut self.control
        } else {
            &mut self.plain
        }
    }

    fn send(&mut self, from: usize, to: &DaemonId, message: MeshMessage) {
        let to = self.numbers[to];
        let size = codec::encode(&message).map_or(0, |bytes| bytes.len() as u64);
        if from != to {
            self.cost(from).sent += size;
            self.cost(from).messages += 1;
            self.cost(to).received += size;
        }
        self.in_transit.push((from, to, message));
    }

    fn step(&mut self) -> Result<(), Failure> {
        self.now += STEP_MS;
        let mut inboxes = vec![Vec::new(); CONTROL];
        for (from, to, message) in std::mem::take(&mut self.in_transit) {
            let from = self.names[from].clone();
            match message {
                MeshMessage::Raft(bytes) => inboxes[to].push(NodeEvent::Raft { from, bytes }),
                MeshMessage::Feed(bytes) => {
                    if to < CONTROL {
                        let (from, bytes) = (from.clone(), bytes.clone());
                        inboxes[to].push(NodeEvent::Feed { from, bytes });
                    }
                    self.run_client(to, FeedEvent::Message { from, bytes });
                }
                _ => {}
            }
        }
        if self.now / CHANGE_PERIOD_MS > (self.now - STEP_MS) / CHANGE_PERIOD_MS {
            self.change(&mut inboxes);
        }
        for (number, inbox) in inboxes.into_iter().enumerate() {
            self.run_node(number, inbox)?;
        }
        for number in 0..self.clients.len() {
            self.run_client(number, FeedEvent::Tick);
        }
        Ok(())
    }

    fn change(&mut self, inboxes: &mut [Vec<NodeEvent>]) {
        self.proposed += 1;
        let ticket = self.proposed;
        for inbox in inboxes {
            let proposal = proposal(ticket);
            inbox.push(NodeEvent::Propose { ticket, proposal });
        }
    }

    fn run_node(&mut self, number: usize, mut events: Vec<NodeEvent>) -> Result<(), Failure> {
        events.push(NodeEvent::Tick);
        let started = Instant::now();
        let mut actions = Vec::new();
        let wall = WallMillis(self.now);
        self.nodes[number].step(Millis(self.now), wall, events, &mut actions)?;
        self.control.time += started.elapsed();
        for action in actions {
            if let NodeAction::Send { to, message } = action {
                self.send(number, &to, message);
            }
        }
        Ok(())
    }

    fn run_client(&mut self, number: usize, event: FeedEvent) {
        let started = Instant::now();
        let mut actions = Vec::new();
        self.clients[number].handle(Millis(self.now), event, &mut actions);
        let spent = started.elapsed();
        self.cost(number).time += spent;
        for action in actions {
            if let FeedAction::Send { to, message } = action {
                self.send(number, &to, *message);
            }
        }
    }

    fn run(&mut self, millis: u64) -> Result<(), Failure> {
        let end = self.now + millis;
        while self.now < end {
            self.step()?;
        }
        Ok(())
    }

    fn leased(&self) -> usize {
        let now = Millis(self.now);
        self.clients.iter().filter(|c| c.lease_valid(now)).count()
    }
}

fn proposal(number: u64) -> Proposal {
    let command = ConfigCommand::PutTeam(Team {
        id: format!("team-{}", number % 100)
            .parse()
            .expect("a valid name"),
        weight: 1,
        max_inflight: Some(64),
        token_rate: Some(number),
    });
    Proposal {
        id: RequestId(u128::from(number)),
        author: "operator-a".to_owned(),
        at: WallMillis(0),
        expected: None,
        table: CONFIG_TABLE.to_owned(),
        command: codec::encode(&command).expect("a command encodes"),
    }
}

/// Prints the sizes of the push and of the table image that a join causes in a cell of 1,300
/// daemons.
fn report_members() -> Result<(), Failure> {
    const DAEMONS: u64 = 1300;
    let mut tables = TableSet::open_all();
    let mut last = None;
    for number in 1..=DAEMONS {
        let command = MemberCommand::Join(Member {
            id: format!("vm-{number}").parse()?,
            zone: format!("zone-{}", number % 18).parse()?,
            address: format!("10.20.{}.{}:7400", number / 250, number % 250),
            incarnation: Incarnation(1_700_000_000_000 + number),
            leaving: false,
            role: Role::Entry,
            host: String::new(),
        });
        let proposal = Proposal {
            table: MEMBERS_TABLE.to_owned(),
            command: codec::encode(&command)?,
            ..proposal(number)
        };
        tables.apply(Revision(number), &proposal);
        last = Some(proposal);
    }
    let changes = last.into_iter().map(|proposal| TableChange {
        revision: Revision(DAEMONS),
        proposal,
    });
    let push = FeedMessage::Push(Push {
        group: GroupId(u64::MAX),
        update: Update {
            from: Revision(DAEMONS - 1),
            to: Revision(DAEMONS),
            changes: changes.collect(),
            image: None,
        },
    });
    let line = serde_json::json!({
        "measure": "members",
        "daemons": DAEMONS,
        "push_bytes": codec::encode(&push)?.len(),
        "image_bytes": codec::encode(&tables.distributed_image()?)?.len(),
    });
    println!("{line}");
    Ok(())
}

fn report(role: &str, daemons: usize, cost: &Cost, leased: usize) {
    let seconds = MEASURED_MS as f64 / 1000.0 * daemons as f64;
    let rate = |value: u64| (value as f64 / seconds * 10.0).round() / 10.0;
    let share = cost.time.as_secs_f64() / seconds * 100.0;
    let line = serde_json::json!({
        "measure": "feed",
        "role": role,
        "daemons": daemons,
        "leased": leased,
        "sent_bytes_per_s": rate(cost.sent),
        "received_bytes_per_s": rate(cost.received),
        "sent_messages_per_s": rate(cost.messages),
        "core_percent": (share * 10_000.0).round() / 10_000.0,
    });
    println!("{line}");
}

fn main() -> Result<(), Failure> {
    let base = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    report_members()?;
    let large = std::env::args().nth(2).as_deref() == Some("large");
    let timing = if large {
        Timing::large()
    } else {
        Timing::default()
    };
    for daemons in [3, 9, 27, 81, 300] {
        let folder = tempfile::tempdir_in(&base)?;
        let mut fleet = Fleet::open(folder.path(), daemons, timing)?;
        fleet.run(WARMUP_MS)?;
        fleet.plain = Cost::default();
        fleet.control = Cost::default();
        fleet.run(MEASURED_MS)?;
        let leased = fleet.leased();
        if daemons > CONTROL {
            report("plain", daemons - CONTROL, &fleet.plain, leased);
        }
        report("control", CONTROL, &fleet.control, leased);
    }
    Ok(())
}
