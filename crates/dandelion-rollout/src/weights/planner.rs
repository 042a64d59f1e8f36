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

use crate::weights::engine::Engine;
use crate::weights::engine::Work;
use crate::weights::event::Artifact;
use crate::weights::event::SwapAction;
use crate::weights::event::SwapEvent;
use crate::weights::event::WeightSource;
use crate::weights::settings::SwapSettings;
use crate::weights::sources::Sources;
use crate::weights::zone::Need;
use crate::weights::zone::Zone;

/// Plans fetches and swaps. The cost of an event for one engine grows only with the depth of the
/// sorted indexes, not with the number of engines.
#[derive(Debug, Default)]
pub struct SwapPlanner {
    pub(super) settings: SwapSettings,
    pub(super) newest: BTreeMap<JobId, WeightVersion>,
    pub(super) engines: BTreeMap<UpstreamId, Engine>,
    pub(super) zones: BTreeMap<ZoneId, Zone>,
    pub(super) sources: Sources,
    /// Fetches from the store that are in progress.
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
        let engines = self.engines.values();
        engines.filter(|engine| self.is_current(engine)).count()
    }

    /// Returns the number of engines and queue entries examined so far.
    pub fn decisions(&self) -> u64 {
        self.decisions
    }

    fn is_current(&self, engine: &Engine) -> bool {
        let loaded = &engine.loaded;
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
        self.sources.remove_job(&artifact.job);
        self.newest.insert(artifact.job.clone(), artifact.version);
        let serving: Vec<UpstreamId> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.loaded.contains_key(&artifact.job))
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in serving {
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.failures = 0;
            }
            self.enqueue(&upstream);
        }
    }

    fn on_reported(
        &mut self,
        upstream: &UpstreamId,
        zone: ZoneId,
        boot: Incarnation,
        loaded: Vec<Artifact>,
        out: &mut Actions,
    ) {
        let known = self.engines.get(upstream).map(|engine| engine.boot);
        if known.is_some_and(|known| boot < known) {
            return;
        }
        if known != Some(boot) {
            let quarantined = self
                .engines
                .get(upstream)
                .is_some_and(|old| old.quarantined);
            self.on_gone(upstream);
            self.zones.entry(zone.clone()).or_default().engine_count += 1;
            let mut engine = Engine::new(zone, boot);
            engine.quarantined = quarantined;
            self.engines.insert(upstream.clone(), engine);
        }
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let loaded: BTreeMap<JobId, WeightVersion> = loaded
            .into_iter()
            .map(|artifact| (artifact.job, artifact.version))
            .collect();
        if known == Some(boot) && engine.loaded == loaded {
            return;
        }
        self.dequeue(upstream);
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.loaded = loaded;
        }
        self.check_swap(upstream, out);
        self.update_source(upstream);
        self.enqueue(upstream);
    }

    /// Ends a swap whose version the engine reports as loaded.
    fn check_swap(&mut self, upstream: &UpstreamId, out: &mut Actions) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let swapped = matches!(&engine.work, Work::Swapping { artifact, .. }
            if is_loaded(&engine.loaded, artifact));
        let readmitted = engine.quarantined && self.is_current(engine);
        if swapped {
            self.end_work(upstream);
        }
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if swapped {
            engine.failures = 0;
        }
        if readmitted {
            engine.quarantined = false;
            out.push(SwapAction::Readmit {
                upstream: upstream.clone(),
            });
        }
    }

    fn on_gone(&mut self, upstream: &UpstreamId) {
        if !self.engines.contains_key(upstream) {
            return;
        }
        self.end_work(upstream);
        self.dequeue(upstream);
        self.sources.remove_engine(upstream);
        if let Some(engine) = self.engines.remove(upstream)
            && let Some(zone) = self.zones.get_mut(&engine.zone)
        {
            zone.engine_count -= 1;
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
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let expected = matches!(&engine.work, Work::Fetching { artifact: planned, .. }
            if *planned == artifact);
        if !expected {
            return;
        }
        if !done {
            self.fail(now, upstream, out);
            return;
        }
        engine.fetched.insert(artifact.job, artifact.version);
        self.end_work(upstream);
        self.update_source(upstream);
        self.enqueue(upstream);
    }

    /// Lets the next engine of the zone swap; this one has yet to report the version.
    fn on_swap_answered(&mut self, upstream: &UpstreamId, artifact: &Artifact) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let Work::Swapping {
            artifact: planned,
            answered,
        } = &mut engine.work
        else {
            return;
        };
        if planned == artifact
            && !std::mem::replace(answered, true)
            && let Some(zone) = self.zones.get_mut(&engine.zone)
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
        let work = self.engines.get(upstream).map(|engine| &engine.work);
        if matches!(work, Some(Work::Swapping { artifact: planned, .. }) if planned == artifact) {
            self.fail(now, upstream, out);
        }
    }

    /// Ends the work of an engine and frees the permit or slots that it held.
    pub(super) fn end_work(&mut self, upstream: &UpstreamId) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        let work = std::mem::replace(&mut engine.work, Work::Idle);
        let zone = engine.zone.clone();
        if let Some(timer) = engine.timer.take() {
            self.timers.remove(&(timer, upstream.clone()));
        }
        match work {
            Work::Fetching {
                source, peer_boot, ..
            } => self.end_fetch(&source, peer_boot),
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
                let engine = self.engines.get_mut(peer);
                if let Some(engine) = engine.filter(|engine| Some(engine.boot) == boot) {
                    engine.serving = engine.serving.saturating_sub(1);
                }
                self.update_source(peer);
            }
        }
    }

    /// Lists an engine as a source of the newest weights that it has, or removes it if it has no
    /// free slot.
    pub(super) fn update_source(&mut self, upstream: &UpstreamId) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let free = engine.serving < self.settings.peer_fanout;
        for (job, version) in &self.newest {
            let artifact = Artifact {
                job: job.clone(),
                version: *version,
            };
            if engine.has(&artifact) {
                self.sources.set(&artifact, &engine.zone, upstream, free);
            }
        }
    }

    /// Queues the next fetch or swap of an idle engine for each of its jobs.
    pub(super) fn enqueue(&mut self, upstream: &UpstreamId) {
        self.decisions += 1;
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&engine.zone) else {
            return;
        };
        zone.forget(upstream, engine.loaded.keys());
        if !matches!(engine.work, Work::Idle) || engine.timer.is_some() {
            return;
        }
        for (job, version) in &engine.loaded {
            let Some(newest) = self.newest.get(job).filter(|newest| *newest > version) else {
                continue;
            };
            let need = if engine.fetched.get(job) == Some(newest) {
                Need::Swap
            } else {
                Need::Fetch
            };
            zone.add(need, upstream, job);
        }
    }

    pub(super) fn dequeue(&mut self, upstream: &UpstreamId) {
        if let Some(engine) = self.engines.get(upstream)
            && let Some(zone) = self.zones.get_mut(&engine.zone)
        {
            zone.forget(upstream, engine.loaded.keys());
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
            SwapEvent::Reported {
                upstream,
                zone,
                boot,
                loaded,
            } => self.on_reported(&upstream, zone, boot, loaded, actions),
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
