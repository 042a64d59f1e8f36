//! Failed and timed-out fetches and swaps.

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::weights::engine::Work;
use crate::weights::event::Artifact;
use crate::weights::event::SwapAction;
use crate::weights::planner::Actions;
use crate::weights::planner::SwapPlanner;

impl SwapPlanner {
    /// Counts a failed fetch or swap; the engine is retried after a delay, or quarantined after too
    /// many failures.
    pub(super) fn fail(&mut self, now: Millis, upstream: &UpstreamId, out: &mut Actions) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let artifact = match &engine.work {
            Work::Fetching { artifact, .. } | Work::Swapping { artifact, .. } => artifact.clone(),
            Work::Idle => return,
        };
        self.end_work(upstream);
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        // The fetched weights may be damaged, so they are fetched again after a second failure.
        if engine.failures > 0 {
            engine.fetched.remove(&artifact.job);
        }
        engine.failures += 1;
        if engine.failures < self.settings.max_failures {
            self.set_timer(now + self.settings.backoff, upstream);
        } else {
            engine.failures = 0;
            self.quarantine(now, upstream, artifact, out);
        }
        self.sources.remove_engine(upstream);
        self.update_source(upstream);
        self.dequeue(upstream);
    }

    /// Quarantines an engine; after a time it gets orders again.
    fn quarantine(
        &mut self,
        now: Millis,
        upstream: &UpstreamId,
        artifact: Artifact,
        out: &mut Actions,
    ) {
        self.set_timer(now + self.settings.quarantine, upstream);
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        if !engine.quarantined {
            engine.quarantined = true;
            out.push(SwapAction::Quarantine {
                upstream: upstream.clone(),
                artifact,
            });
        }
    }

    pub(super) fn set_timer(&mut self, at: Millis, upstream: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.timer = Some(at);
            self.timers.insert((at, upstream.clone()));
        }
    }

    pub(super) fn on_tick(&mut self, now: Millis, out: &mut Actions) {
        while let Some((at, upstream)) = self.timers.first().cloned() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, upstream.clone()));
            self.on_timer(now, &upstream, out);
        }
    }

    fn on_timer(&mut self, now: Millis, upstream: &UpstreamId, out: &mut Actions) {
        let Some(engine) = self.engines.get_mut(upstream) else {
            return;
        };
        engine.timer = None;
        match engine.work {
            Work::Fetching { .. } | Work::Swapping { .. } => self.fail(now, upstream, out),
            Work::Idle => self.enqueue(upstream),
        }
    }
}
