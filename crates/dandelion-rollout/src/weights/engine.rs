//! What the planner knows of one engine.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;

use crate::weights::event::Artifact;
use crate::weights::event::WeightSource;

/// What an engine is doing about weights.
#[derive(Debug, Clone)]
pub(super) enum Work {
    Idle,
    Fetching {
        artifact: Artifact,
        source: WeightSource,
        /// Life of the peer that serves it; a later life has forgotten it.
        peer: Option<Incarnation>,
    },
    Swapping {
        artifact: Artifact,
        /// Whether it answered, so that it serves again.
        answered: bool,
    },
}

/// One engine.
#[derive(Debug, Clone)]
pub(super) struct Replica {
    pub zone: ZoneId,
    pub boot: Incarnation,
    pub loaded: BTreeMap<JobId, WeightVersion>,
    pub fetched: BTreeMap<JobId, WeightVersion>,
    pub work: Work,
    pub serving: usize,
    pub failures: u32,
    /// Whether rollouts are kept off it until it reports the newest weights.
    pub aside: bool,
    /// When its work times out or its wait ends.
    pub timer: Option<Millis>,
}

impl Replica {
    pub fn new(zone: ZoneId, boot: Incarnation) -> Self {
        Self {
            zone,
            boot,
            loaded: BTreeMap::new(),
            fetched: BTreeMap::new(),
            work: Work::Idle,
            serving: 0,
            failures: 0,
            aside: false,
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
