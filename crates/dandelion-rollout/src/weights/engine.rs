//! State of one engine as known to the planner.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;

use crate::weights::event::Artifact;
use crate::weights::event::WeightSource;

/// Fetch or swap in progress on an engine.
#[derive(Debug, Clone)]
pub(super) enum Work {
    Idle,
    Fetching {
        artifact: Artifact,
        source: WeightSource,
        /// Incarnation of the peer that serves the fetch; a restarted peer no longer counts it.
        peer_boot: Option<Incarnation>,
    },
    Swapping {
        artifact: Artifact,
        /// Whether the engine answered the order, so that it serves again.
        answered: bool,
    },
}

/// An engine and its weights.
#[derive(Debug, Clone)]
pub(super) struct Engine {
    pub zone: ZoneId,
    pub boot: Incarnation,
    /// Version in service of each job, as last reported.
    pub loaded: BTreeMap<JobId, WeightVersion>,
    /// Last version fetched for each job.
    pub fetched: BTreeMap<JobId, WeightVersion>,
    pub work: Work,
    /// Fetches that it serves to peers.
    pub serving: usize,
    /// Failures since the last reported swap, publication or quarantine.
    pub failures: u32,
    /// Whether it is quarantined until it reports the newest weights.
    pub quarantined: bool,
    /// Time at which its work times out, or at which it is tried again.
    pub timer: Option<Millis>,
}

impl Engine {
    pub fn new(zone: ZoneId, boot: Incarnation) -> Self {
        Self {
            zone,
            boot,
            loaded: BTreeMap::new(),
            fetched: BTreeMap::new(),
            work: Work::Idle,
            serving: 0,
            failures: 0,
            quarantined: false,
            timer: None,
        }
    }

    /// Returns whether the engine has weights in service or fetched.
    pub fn has(&self, artifact: &Artifact) -> bool {
        let loaded = self.loaded.get(&artifact.job) == Some(&artifact.version);
        loaded || self.has_fetched(artifact)
    }

    /// Returns whether the engine has fetched weights.
    pub fn has_fetched(&self, artifact: &Artifact) -> bool {
        self.fetched.get(&artifact.job) == Some(&artifact.version)
    }
}
