//! Starts fetches and swaps within the limits.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;

use crate::weights::engine::Work;
use crate::weights::event::Artifact;
use crate::weights::event::SwapAction;
use crate::weights::event::WeightSource;
use crate::weights::planner::Actions;
use crate::weights::planner::SwapPlanner;
use crate::weights::zone::Zone;

impl SwapPlanner {
    /// Starts every fetch and swap that the limits allow.
    pub(super) fn plan(&mut self, now: Millis, out: &mut Actions) {
        let zones: Vec<ZoneId> = self
            .zones
            .iter()
            .filter(|(_, zone)| zone.has_needs())
            .map(|(name, _)| name.clone())
            .collect();
        for zone in zones {
            self.plan_swaps(now, &zone, out);
            self.plan_fetches(now, &zone, out);
        }
    }

    fn plan_swaps(&mut self, now: Millis, name: &ZoneId, out: &mut Actions) {
        loop {
            let Some(zone) = self.zones.get_mut(name) else {
                return;
            };
            let max_swapping = (zone.engine_count * self.settings.swap_permille / 1000).max(1);
            let Some((upstream, job)) = zone.next_swap().filter(|_| zone.swapping < max_swapping)
            else {
                return;
            };
            zone.swapping += 1;
            self.decisions += 1;
            self.dequeue(&upstream);
            let artifact = self.artifact(job);
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.work = Work::Swapping {
                    artifact: artifact.clone(),
                    answered: false,
                };
            }
            self.set_timer(now + self.settings.swap_timeout, &upstream);
            out.push(SwapAction::Swap { upstream, artifact });
        }
    }

    fn plan_fetches(&mut self, now: Millis, name: &ZoneId, out: &mut Actions) {
        let jobs = self.zones.get(name).map(Zone::fetch_jobs);
        for job in jobs.unwrap_or_default() {
            self.plan_job_fetches(now, name, &job, out);
        }
    }

    fn plan_job_fetches(&mut self, now: Millis, name: &ZoneId, job: &JobId, out: &mut Actions) {
        let artifact = self.artifact(job.clone());
        loop {
            let next = self.zones.get(name).and_then(|zone| zone.next_fetch(job));
            let Some(upstream) = next else {
                return;
            };
            self.decisions += 1;
            let Some(source) = self.choose_source(&artifact, name) else {
                return;
            };
            self.dequeue(&upstream);
            let peer_boot = self.boot_of(&source);
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.work = Work::Fetching {
                    artifact: artifact.clone(),
                    source: source.clone(),
                    peer_boot,
                };
            }
            self.set_timer(now + self.settings.fetch_timeout, &upstream);
            out.push(SwapAction::Fetch {
                upstream,
                artifact: artifact.clone(),
                source,
            });
        }
    }

    /// Chooses a peer of the same zone, else the store, else any peer, and acquires its slot or
    /// permit.
    fn choose_source(&mut self, artifact: &Artifact, zone: &ZoneId) -> Option<WeightSource> {
        let local_peer = self.sources.in_zone(artifact, zone);
        if local_peer.is_none() && self.permits_used < self.settings.store_permits {
            self.permits_used += 1;
            return Some(WeightSource::Store);
        }
        let peer = local_peer.or_else(|| self.sources.anywhere(artifact))?;
        if let Some(engine) = self.engines.get_mut(&peer) {
            engine.serving += 1;
        }
        self.update_source(&peer);
        Some(WeightSource::Peer(peer))
    }

    fn boot_of(&self, source: &WeightSource) -> Option<Incarnation> {
        match source {
            WeightSource::Store => None,
            WeightSource::Peer(peer) => self.engines.get(peer).map(|engine| engine.boot),
        }
    }

    fn artifact(&self, job: JobId) -> Artifact {
        Artifact {
            version: self.target(&job).unwrap_or_default(),
            job,
        }
    }
}
