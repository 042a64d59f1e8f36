//! One simulated VM: its clock, disk, control node and feed client.

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
pub struct SimVm {
    pub settings: NodeSettings,
    pub feed: FeedSettings,
    pub disk: Option<SimDisk>,
    pub node: Option<Node>,
    pub client: Option<FeedClient>,
    /// Rate at which its clock runs fast (or slow, if negative), in parts per million.
    pub drift_ppm: i64,
    pub offset: u64,
    pub paused_until: u64,
    pub down_until: u64,
    /// Time at which a full disk has space again; none if it isn't full, or until it is healed.
    pub full_until: Option<u64>,
    /// Whether the node waits for space on its disk to be opened again.
    pub failed: bool,
    /// Number of starts so far; one incarnation each.
    pub starts: u64,
    /// Highest revision that the client has had under a lease, over all its starts.
    pub leased_revision: Revision,
}

impl SimVm {
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
            paused_until: 0,
            down_until: 0,
            full_until: None,
            failed: false,
            starts: 0,
            leased_revision: Revision(0),
        }
    }

    /// Returns the VM's clock at the true time `now`.
    pub fn clock(&self, now: u64) -> Millis {
        let rate = (1_000_000 + self.drift_ppm) as u64;
        Millis(self.offset + now * rate / 1_000_000)
    }

    pub fn start(&mut self, now: u64, seed: u64) -> Result<(), StorageError> {
        self.starts += 1;
        let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add(self.starts);
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

    /// Opens a failed node again if its disk has space.
    pub fn reopen(&mut self, now: u64, seed: u64) {
        let clock = self.clock(now);
        if let Some(node) = self.node.as_mut().filter(|_| self.failed) {
            self.failed = node.reopen(clock, seed).is_err();
        }
    }

    pub fn kill(&mut self, until: u64) {
        self.failed = false;
        self.node = None;
        self.client = None;
        self.down_until = until;
        if let Some(disk) = &self.disk {
            disk.crash();
        }
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.client.is_some() && now >= self.paused_until
    }
}
