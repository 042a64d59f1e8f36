//! Engines that can serve the newest weights to peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;

use crate::weights::event::Artifact;

type ByZone = BTreeMap<ZoneId, BTreeSet<UpstreamId>>;

/// Engines with a free slot, by job and zone; only the newest version of a job is listed.
#[derive(Debug, Default)]
pub(super) struct Sources {
    free: BTreeMap<JobId, ByZone>,
}

impl Sources {
    /// Removes the sources of a job, as when a newer version is published.
    pub fn remove_job(&mut self, job: &JobId) {
        self.free.remove(job);
    }

    /// Adds an engine to the list if it has a free slot, else removes it.
    pub fn set(&mut self, artifact: &Artifact, zone: &ZoneId, upstream: &UpstreamId, free: bool) {
        let zones = self.free.entry(artifact.job.clone()).or_default();
        let names = zones.entry(zone.clone()).or_default();
        if free {
            names.insert(upstream.clone());
        } else {
            names.remove(upstream);
        }
        if names.is_empty() {
            zones.remove(zone);
        }
    }

    /// Removes an engine as a source of every job.
    pub fn remove_engine(&mut self, upstream: &UpstreamId) {
        for zones in self.free.values_mut() {
            for names in zones.values_mut() {
                names.remove(upstream);
            }
            zones.retain(|_, names| !names.is_empty());
        }
    }

    /// Returns an engine of a zone that can serve an artifact.
    pub fn in_zone(&self, artifact: &Artifact, zone: &ZoneId) -> Option<UpstreamId> {
        self.free.get(&artifact.job)?.get(zone)?.first().cloned()
    }

    /// Returns any engine that can serve an artifact.
    pub fn anywhere(&self, artifact: &Artifact) -> Option<UpstreamId> {
        let zones = self.free.get(&artifact.job)?;
        zones.values().next()?.first().cloned()
    }
}
