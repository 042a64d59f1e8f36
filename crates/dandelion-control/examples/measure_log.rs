//! Measures changes per second, with one sync for each batch, and compares them with a plain
//! append-and-sync loop over about as many bytes in the same run. Prints one JSON line for each
//! number of voters and batch size.
//!
//! Usage: `cargo run --release -p dandelion-control --example measure_log -- <folder on the disk>`

use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ReplicaId;
use dandelion_protocol::codec;
use dandelion_protocol::config::CONFIG_TABLE;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Team;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

type Failure = Box<dyn std::error::Error>;

/// Duration of the measurement of one batch size.
const PART_DURATION: Duration = Duration::from_secs(4);

/// Time after which proposals without an answer are replaced by new ones.
const RESEND_AFTER: Duration = Duration::from_secs(5);

struct Cluster {
    nodes: Vec<ControlNode<FileStorage>>,
    numbers: BTreeMap<DaemonId, usize>,
    inboxes: Vec<Vec<NodeEvent>>,
    started: Instant,
    answered: u64,
    proposed: u64,
}

impl Cluster {
    fn open(folder: &Path, voters: usize) -> Result<Self, Failure> {
        let peers = (0..voters).map(|n| format!("vm-{n}").parse());
        let peers = peers.collect::<Result<Vec<DaemonId>, _>>()?;
        let mut nodes = Vec::new();
        for (number, daemon) in peers.iter().enumerate() {
            let path = folder.join(daemon.as_str());
            let storage = FileStorage::open(&path, ReplicaId(number as u64 + 1))?;
            let zone = format!("zone-{number}").parse()?;
            let settings = NodeSettings::new(daemon.clone(), zone, peers.clone());
            nodes.push(ControlNode::open(
                settings,
                storage,
                Millis(0),
                number as u64,
            )?);
        }
        let mut cluster = Self {
            nodes,
            numbers: peers.into_iter().enumerate().map(|(n, d)| (d, n)).collect(),
            inboxes: vec![Vec::new(); voters],
            started: Instant::now(),
            answered: 0,
            proposed: 0,
        };
        while cluster.leader().is_none() {
            cluster.step()?;
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(cluster)
    }

    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    fn leader(&self) -> Option<usize> {
        let now = self.now();
        let leads = |n: &ControlNode<FileStorage>| n.leased_term(now, Millis::ZERO).is_some();
        self.nodes.iter().position(leads)
    }

    fn step(&mut self) -> Result<(), Failure> {
        for number in 0..self.nodes.len() {
            let mut events = std::mem::take(&mut self.inboxes[number]);
            events.push(NodeEvent::Tick);
            let now = self.now();
            let mut actions = Vec::new();
            self.nodes[number].step(now, WallMillis(now.0), events, &mut actions)?;
            for action in actions {
                self.perform(number, action);
            }
        }
        Ok(())
    }

    fn perform(&mut self, number: usize, action: NodeAction) {
        match action {
            NodeAction::Answer { result: Ok(_), .. } => self.answered += 1,
            NodeAction::Send { to, message } => {
                let from = format!("vm-{number}").parse().expect("a valid name");
                if let (MeshMessage::Raft(bytes), Some(to)) = (message, self.numbers.get(&to)) {
                    self.inboxes[*to].push(NodeEvent::Raft { from, bytes });
                }
            }
            _ => {}
        }
    }

    fn propose(&mut self, batch: u64) {
        let Some(leader) = self.leader() else {
            return;
        };
        for _ in 0..batch {
            self.proposed += 1;
            let proposal = proposal(self.proposed);
            let ticket = self.proposed;
            self.inboxes[leader].push(NodeEvent::Propose { ticket, proposal });
        }
    }

    /// Proposes one batch and runs until as many proposals are answered. Proposals that a change of
    /// leader left unanswered are replaced by new ones.
    fn run_batch(&mut self, batch: u64) -> Result<Duration, Failure> {
        let started = Instant::now();
        let target = self.answered + batch;
        self.propose(batch);
        let mut proposed_at = Instant::now();
        while self.answered < target {
            self.step()?;
            if proposed_at.elapsed() > RESEND_AFTER {
                self.propose(target - self.answered);
                proposed_at = Instant::now();
            }
        }
        Ok(started.elapsed())
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

/// A file for the baseline: each batch appends about as many bytes as it has in the log, and syncs.
struct RawFile {
    file: File,
    block: Vec<u8>,
}

impl RawFile {
    fn open(folder: &Path, batch: u64) -> Result<Self, Failure> {
        let bytes = codec::encode(&proposal(1))?.len() + 16;
        let path = folder.join(format!("raw-{batch}"));
        Ok(Self {
            file: OpenOptions::new().create(true).append(true).open(path)?,
            block: vec![7; bytes * batch as usize],
        })
    }

    fn run_batch(&mut self) -> Result<Duration, Failure> {
        let started = Instant::now();
        self.file.write_all(&self.block)?;
        self.file.sync_data()?;
        Ok(started.elapsed())
    }
}

/// Alternates batches through the log with baseline ones, so that both see the same disk load.
fn measure(cluster: &mut Cluster, folder: &Path, batch: u64) -> Result<(), Failure> {
    let mut raw = RawFile::open(folder, batch)?;
    let mut spent = Duration::ZERO;
    let mut raw_spent = Duration::ZERO;
    let mut batches = 0;
    while spent + raw_spent < PART_DURATION {
        spent += cluster.run_batch(batch)?;
        raw_spent += raw.run_batch()?;
        batches += 1;
    }
    let changes = (batches * batch) as f64 / spent.as_secs_f64();
    let raw_changes = (batches * batch) as f64 / raw_spent.as_secs_f64();
    let line = serde_json::json!({
        "measure": "log",
        "voters": cluster.nodes.len(),
        "batch": batch,
        "batches": batches,
        "changes_per_s": changes.round(),
        "raw_per_s": raw_changes.round(),
        "ratio": (changes / raw_changes * 1000.0).round() / 1000.0,
    });
    println!("{line}");
    Ok(())
}

fn main() -> Result<(), Failure> {
    let base = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    for voters in [1, 3] {
        let folder = tempfile::tempdir_in(&base)?;
        let mut cluster = Cluster::open(folder.path(), voters)?;
        for batch in [1, 16, 256, 1024] {
            measure(&mut cluster, folder.path(), batch)?;
        }
    }
    Ok(())
}
