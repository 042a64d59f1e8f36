//! Drops the traffic with chosen peers, so that tests can simulate network partitions.

use std::collections::BTreeSet;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dandelion_protocol::ids::DaemonId;

/// Peers whose traffic is dropped.
#[derive(Debug, Default)]
pub struct Faults {
    any: AtomicBool,
    isolated: RwLock<BTreeSet<DaemonId>>,
}

impl Faults {
    pub fn set_isolated(&self, peer: &DaemonId, isolated: bool) {
        let mut peers = self
            .isolated
            .write()
            .expect("no holder of this lock panics");
        if isolated {
            peers.insert(peer.clone());
        } else {
            peers.remove(peer);
        }
        self.any.store(!peers.is_empty(), Ordering::Release);
    }

    /// Returns whether traffic with `peer` is dropped.
    pub fn is_isolated(&self, peer: &DaemonId) -> bool {
        self.any.load(Ordering::Acquire)
            && self.isolated.read().is_ok_and(|peers| peers.contains(peer))
    }
}
