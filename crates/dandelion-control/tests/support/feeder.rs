//! One control daemon that feeds many daemons, with their messages made by hand.

use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::feed::FeedMessage;
use dandelion_control::feed::message::Grant;
use dandelion_control::feed::message::Renew;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::GroupId;
use dandelion_control::raft::ReplicaId;
use dandelion_control::tables::UpstreamsCommand;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

const STEP_MS: u64 = 20;
const WALL_MS: u64 = 1_700_000_000_000;

/// The control daemon and its clock.
pub struct FeederBench {
    pub node: ControlNode<FileStorage>,
    pub now: u64,
}

impl FeederBench {
    /// Opens a group of one daemon and lets it lead.
    pub fn open(folder: &std::path::Path) -> Self {
        let name: DaemonId = "control".parse().unwrap();
        let zone = "zone".parse().unwrap();
        let settings = NodeSettings::new(name.clone(), zone, vec![name]);
        let storage = FileStorage::open(folder, ReplicaId(1)).unwrap();
        let node = ControlNode::open(settings, storage, Millis(0), 1).unwrap();
        let mut bench = Self { node, now: 0 };
        while bench
            .node
            .leased_term(Millis(bench.now), Millis(0))
            .is_none()
        {
            bench.step(Vec::new());
        }
        bench
    }

    /// Runs one step and returns its actions.
    pub fn step(&mut self, mut events: Vec<NodeEvent>) -> Vec<NodeAction> {
        self.now += STEP_MS;
        events.push(NodeEvent::Tick);
        let mut actions = Vec::new();
        let now = Millis(self.now);
        let wall = WallMillis(WALL_MS + self.now);
        self.node.step(now, wall, events, &mut actions).unwrap();
        actions
    }

    /// Records that `count` upstreams have started, in one step.
    pub fn report(&mut self, count: u32, sequence: u64) -> Vec<NodeAction> {
        let events = (0..count).map(|n| report(n, sequence)).collect();
        self.step(events)
    }

    /// Lets daemons renew in one step and returns the actions.
    pub fn renew(&mut self, daemons: &[DaemonId], group: GroupId, at: Revision) -> Vec<NodeAction> {
        let events = daemons.iter().map(|from| {
            let renew = Renew {
                nonce: self.now,
                group,
                applied: at,
            };
            let bytes = codec::encode(&FeedMessage::Renew(renew)).unwrap();
            NodeEvent::Feed {
                from: from.clone(),
                bytes: bytes.into(),
            }
        });
        let events = events.collect();
        self.step(events)
    }
}

/// Names of `count` daemons.
pub fn daemons(count: usize) -> Vec<DaemonId> {
    let names = (0..count).map(|n| format!("daemon-{n:03}").parse().unwrap());
    names.collect()
}

/// Returns the grants among the actions.
pub fn grants(actions: &[NodeAction]) -> Vec<(DaemonId, Grant)> {
    let grant = |action: &NodeAction| match action {
        NodeAction::Send {
            to,
            message: MeshMessage::Feed(bytes),
        } => match codec::decode(bytes).unwrap() {
            FeedMessage::Grant(grant) => Some((to.clone(), grant)),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn report(number: u32, sequence: u64) -> NodeEvent {
    let [_, a, b, c] = number.to_be_bytes();
    let life = UpstreamIncarnation {
        id: format!("upstream-{number:05}").parse().unwrap(),
        born: WallMillis(WALL_MS),
        service: "service-of-a-model".parse().unwrap(),
        address: ([10, a, b, c], 8000).into(),
        zone: "region-1-zone-b".parse().unwrap(),
        slots: 64 + u32::try_from(sequence).unwrap(),
        ready: true,
        software: SoftwareVersion("engine-2026.12.1".to_owned()),
    };
    let command = UpstreamsCommand::Report {
        life,
        sequence,
        cold: false,
    };
    NodeEvent::Propose {
        ticket: u64::from(number),
        proposal: Proposal {
            id: RequestId(u128::from(number) + (u128::from(sequence) << 64)),
            author: "control".to_owned(),
            at: WallMillis(0),
            expected: None,
            table: "lives".to_owned(),
            command: codec::encode(&command).unwrap(),
        },
    }
}
