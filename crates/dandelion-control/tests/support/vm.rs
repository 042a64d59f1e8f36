//! One simulated VM: clock, disk, control node, feed client.

use dandelion_control::ControlNode;
use dandelion_control::FeedClient;
use dandelion_control::feed::FeedSettings;
use dandelion_control::feed::Feeder;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ReplicaId;
use dandelion_control::storage::DiskStorage;
use dandelion_control::storage::StorageError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::support::disk::SimDisk;

pub type Node = ControlNode<DiskStorage<SimDisk>>;

#[derive(Debug)]
pub struct Slot {
    pub settings: NodeSettings,
    pub feed: FeedSettings,
    pub disk: Option<SimDisk>,
    pub node: Option<Node>,
    pub client: Option<FeedClient>,
    pub drift_ppm: i64,
    pub offset: u64,
    pub paused: u64,
    pub down: u64,
    pub lives: u64,
    /// Highest revision that any life of the client has held under a lease.
    pub held: Revision,
}

impl Slot {
    pub fn new(settings: NodeSettings, disk: Option<SimDisk>, feeders: &[DaemonId]) -> Self {
        let zone = settings.zone.clone();
        let feeder = |daemon: &DaemonId| Feeder {
            daemon: daemon.clone(),
            zone: zone.clone(),
        };
        let feed = FeedSettings {
            zone: zone.clone(),
            feeders: feeders.iter().map(feeder).collect(),
            timing: settings.timing,
        };
        Self {
            settings,
            feed,
            disk,
            node: None,
            client: None,
            drift_ppm: 0,
            offset: 0,
            paused: 0,
            down: 0,
            lives: 0,
            held: Revision(0),
        }
    }

    /// Reads the VM's clock at a true time.
    pub fn clock(&self, now: u64) -> Millis {
        let rate = (1_000_000 + self.drift_ppm) as u64;
        Millis(self.offset + now * rate / 1_000_000)
    }

    pub fn start(&mut self, now: u64, seed: u64) -> Result<(), StorageError> {
        self.lives += 1;
        let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add(self.lives);
        self.client = Some(FeedClient::open(self.feed.clone(), seed));
        let Some(disk) = self.disk.clone() else {
            return Ok(());
        };
        let storage = DiskStorage::open_disk(disk, ReplicaId((seed << 1) | 1))?;
        let clock = self.clock(now);
        self.node = Some(ControlNode::open(
            self.settings.clone(),
            storage,
            clock,
            seed,
        )?);
        Ok(())
    }

    pub fn kill(&mut self, until: u64) {
        self.node = None;
        self.client = None;
        self.down = until;
        if let Some(disk) = &self.disk {
            disk.crash();
        }
    }

    pub fn runs(&self, now: u64) -> bool {
        self.client.is_some() && now >= self.paused
    }
}
