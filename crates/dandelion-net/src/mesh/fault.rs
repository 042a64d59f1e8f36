//! Swallows the traffic with chosen peers, so that tests can part daemons without a network.

use std::collections::BTreeSet;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dandelion_protocol::ids::DaemonId;

/// Peers whose traffic is swallowed.
#[derive(Debug, Default)]
pub struct Faults {
    any: AtomicBool,
    cut: RwLock<BTreeSet<DaemonId>>,
}

impl Faults {
    pub fn set(&self, peer: &DaemonId, cut: bool) {
        let mut set = self.cut.write().expect("no holder of this lock panics");
        if cut {
            set.insert(peer.clone());
        } else {
            set.remove(peer);
        }
        self.any.store(!set.is_empty(), Ordering::Release);
    }

    /// Tells whether traffic with `peer` is swallowed.
    pub fn is_cut(&self, peer: &DaemonId) -> bool {
        self.any.load(Ordering::Acquire) && self.cut.read().is_ok_and(|set| set.contains(peer))
    }
}
