//! Brings every engine to the newest published weights of the jobs that it serves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;

use crate::weights::engine::Replica;
use crate::weights::engine::Work;
use crate::weights::event::Artifact;
use crate::weights::event::SwapAction;
use crate::weights::event::SwapEvent;
use crate::weights::event::WeightSource;
use crate::weights::settings::SwapSettings;
use crate::weights::sources::Sources;
use crate::weights::zone::Need;
use crate::weights::zone::Zone;

/// Plans fetches and swaps; the cost of an event does not grow with the number of engines but
/// by the depth of its sorted indexes.
#[derive(Debug, Default)]
pub struct SwapPlanner {
    pub(super) settings: SwapSettings,
    pub(super) newest: BTreeMap<JobId, WeightVersion>,
    pub(super) replicas: BTreeMap<UpstreamId, Replica>,
    pub(super) zones: BTreeMap<ZoneId, Zone>,
    pub(super) sources: Sources,
    pub(super) permits_used: usize,
    pub(super) timers: BTreeSet<(Millis, UpstreamId)>,
    pub(super) decisions: u64,
}

pub(super) type Actions = Vec<SwapAction>;

impl SwapPlanner {
    /// Opens a planner that knows no engine.
    pub fn open(settings: SwapSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of engines that report the newest weights of all their jobs.
    pub fn current(&self) -> usize {
        let replicas = self.replicas.values();
        replicas.filter(|replica| self.is_current(replica)).count()
    }

    /// Returns the number of engines and queue entries looked at so far.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    fn is_current(&self, replica: &Replica) -> bool {
        let loaded = &replica.loaded;
        loaded
            .iter()
            .all(|(job, version)| self.target(job).is_none_or(|newest| newest <= *version))
    }

    pub(super) fn target(&self, job: &JobId) -> Option<WeightVersion> {
        self.newest.get(job).copied()
    }

    fn on_published(&mut self, artifact: &Artifact) {
        let known = self.target(&artifact.job);
        if known.is_some_and(|newest| newest >= artifact.version) {
            return;
        }
        self.sources.retire(&artifact.job);
        self.newest.insert(artifact.job.clone(), artifact.version);
        let serving: Vec<UpstreamId> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.loaded.contains_key(&artifact.job))
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in serving {
            if let Some(replica) = self.replicas.get_mut(&upstream) {
                replica.failures = 0;
            }
            self.enqueue(&upstream);
        }
    }

    fn on_seen(
        &mut self,
        upstream: &UpstreamId,
        zone: ZoneId,
        boot: Incarnation,
        loaded: Vec<Artifact>,
        out: &mut Actions,
    ) {
        let known = self.replicas.get(upstream).map(|replica| replica.boot);
        if known.is_some_and(|known| boot < known) {
            return;
        }
        if known != Some(boot) {
            let aside = self.replicas.get(upstream).is_some_and(|old| old.aside);
            self.on_gone(upstream);
            self.zones.entry(zone.clone()).or_default().engines += 1;
            let mut replica = Replica::new(zone, boot);
            replica.aside = aside;
            self.replicas.insert(upstream.clone(), replica);
        }
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        let loaded: BTreeMap<JobId, WeightVersion> = loaded
            .into_iter()
            .map(|artifact| (artifact.job, artifact.version))
            .collect();
        if known == Some(boot) && replica.loaded == loaded {
            return;
        }
        self.dequeue(upstream);
        if let Some(replica) = self.replicas.get_mut(upstream) {
            replica.loaded = loaded;
        }
        self.check_swap(upstream, out);
        self.offer(upstream);
        self.enqueue(upstream);
    }

    /// Ends a swap that the engine itself reports as done.
    fn check_swap(&mut self, upstream: &UpstreamId, out: &mut Actions) {
        let Some(replica) = self.replicas.get(upstream) else {
            return;
        };
        let swapped = matches!(&replica.work, Work::Swapping { artifact, .. }
            if is_loaded(&replica.loaded, artifact));
        let back = replica.aside && self.is_current(replica);
        if swapped {
            self.end_work(upstream);
        }
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        if swapped {
            replica.failures = 0;
        }
        if back {
            replica.aside = false;
            out.push(SwapAction::PutBack {
                upstream: upstream.clone(),
            });
        }
    }

    fn on_gone(&mut self, upstream: &UpstreamId) {
        if !self.replicas.contains_key(upstream) {
            return;
        }
        self.end_work(upstream);
        self.dequeue(upstream);
        self.sources.forget(upstream);
        if let Some(replica) = self.replicas.remove(upstream)
            && let Some(zone) = self.zones.get_mut(&replica.zone)
        {
            zone.engines -= 1;
        }
    }

    fn on_fetched(
        &mut self,
        now: Millis,
        upstream: &UpstreamId,
        artifact: Artifact,
        done: bool,
        out: &mut Actions,
    ) {
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        let expected = matches!(&replica.work, Work::Fetching { artifact: wanted, .. }
            if *wanted == artifact);
        if !expected {
            return;
        }
        if !done {
            self.fail(now, upstream, out);
            return;
        }
        replica.fetched.insert(artifact.job, artifact.version);
        self.end_work(upstream);
        self.offer(upstream);
        self.enqueue(upstream);
    }

    /// Lets the next engine of the zone swap; the version is still to be reported.
    fn on_swap_answered(&mut self, upstream: &UpstreamId, artifact: &Artifact) {
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        let Work::Swapping {
            artifact: wanted,
            answered,
        } = &mut replica.work
        else {
            return;
        };
        if wanted == artifact
            && !std::mem::replace(answered, true)
            && let Some(zone) = self.zones.get_mut(&replica.zone)
        {
            zone.swapping -= 1;
        }
    }

    fn on_swap_failed(
        &mut self,
        now: Millis,
        upstream: &UpstreamId,
        artifact: &Artifact,
        out: &mut Actions,
    ) {
        let work = self.replicas.get(upstream).map(|replica| &replica.work);
        if matches!(work, Some(Work::Swapping { artifact: wanted, .. }) if wanted == artifact) {
            self.fail(now, upstream, out);
        }
    }

    /// Returns an engine to idle and frees what its work held.
    pub(super) fn end_work(&mut self, upstream: &UpstreamId) {
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        let work = std::mem::replace(&mut replica.work, Work::Idle);
        let zone = replica.zone.clone();
        if let Some(timer) = replica.timer.take() {
            self.timers.remove(&(timer, upstream.clone()));
        }
        match work {
            Work::Fetching { source, peer, .. } => self.end_fetch(&source, peer),
            Work::Swapping {
                answered: false, ..
            } => {
                if let Some(zone) = self.zones.get_mut(&zone) {
                    zone.swapping -= 1;
                }
            }
            Work::Swapping { .. } | Work::Idle => {}
        }
    }

    fn end_fetch(&mut self, source: &WeightSource, boot: Option<Incarnation>) {
        match source {
            WeightSource::Store => self.permits_used -= 1,
            WeightSource::Peer(peer) => {
                let replica = self.replicas.get_mut(peer);
                if let Some(replica) = replica.filter(|replica| Some(replica.boot) == boot) {
                    replica.serving = replica.serving.saturating_sub(1);
                }
                self.offer(peer);
            }
        }
    }

    /// Lists an engine as a source of the newest weights that it has, while it has a free slot.
    pub(super) fn offer(&mut self, upstream: &UpstreamId) {
        let Some(replica) = self.replicas.get(upstream) else {
            return;
        };
        let free = replica.serving < self.settings.peer_fanout;
        for (job, version) in &self.newest {
            let artifact = Artifact {
                job: job.clone(),
                version: *version,
            };
            if replica.has(&artifact) {
                self.sources.set(&artifact, &replica.zone, upstream, free);
            }
        }
    }

    /// Queues what an idle engine needs next.
    pub(super) fn enqueue(&mut self, upstream: &UpstreamId) {
        self.decisions += 1;
        let Some(replica) = self.replicas.get(upstream) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&replica.zone) else {
            return;
        };
        zone.forget(upstream, replica.loaded.keys());
        if !matches!(replica.work, Work::Idle) || replica.timer.is_some() {
            return;
        }
        for (job, version) in &replica.loaded {
            let Some(newest) = self.newest.get(job).filter(|newest| *newest > version) else {
                continue;
            };
            let need = if replica.fetched.get(job) == Some(newest) {
                Need::Swap
            } else {
                Need::Fetch
            };
            zone.add(need, upstream, job);
        }
    }

    pub(super) fn dequeue(&mut self, upstream: &UpstreamId) {
        if let Some(replica) = self.replicas.get(upstream)
            && let Some(zone) = self.zones.get_mut(&replica.zone)
        {
            zone.forget(upstream, replica.loaded.keys());
        }
    }
}

fn is_loaded(loaded: &BTreeMap<JobId, WeightVersion>, artifact: &Artifact) -> bool {
    loaded
        .get(&artifact.job)
        .is_some_and(|version| *version >= artifact.version)
}

impl Machine for SwapPlanner {
    type Event = SwapEvent;
    type Action = SwapAction;

    fn handle(&mut self, now: Millis, event: SwapEvent, actions: &mut Vec<SwapAction>) {
        match event {
            SwapEvent::Published { artifact } => self.on_published(&artifact),
            SwapEvent::Seen {
                upstream,
                zone,
                boot,
                loaded,
            } => self.on_seen(&upstream, zone, boot, loaded, actions),
            SwapEvent::Gone { upstream } => self.on_gone(&upstream),
            SwapEvent::Fetched {
                upstream,
                artifact,
                done,
            } => self.on_fetched(now, &upstream, artifact, done, actions),
            SwapEvent::SwapAnswered { upstream, artifact } => {
                self.on_swap_answered(&upstream, &artifact);
            }
            SwapEvent::SwapFailed { upstream, artifact } => {
                self.on_swap_failed(now, &upstream, &artifact, actions);
            }
            SwapEvent::Tick => self.on_tick(now, actions),
        }
        self.plan(now, actions);
    }
}
