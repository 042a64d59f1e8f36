//! Failed and overdue fetches and swaps.

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::weights::engine::Work;
use crate::weights::event::Artifact;
use crate::weights::event::SwapAction;
use crate::weights::planner::Actions;
use crate::weights::planner::SwapPlanner;

impl SwapPlanner {
    /// Counts a failed fetch or swap; the engine waits, or is set aside after too many.
    pub(super) fn fail(&mut self, now: Millis, upstream: &UpstreamId, out: &mut Actions) {
        let Some(replica) = self.replicas.get(upstream) else {
            return;
        };
        let artifact = match &replica.work {
            Work::Fetching { artifact, .. } | Work::Swapping { artifact, .. } => artifact.clone(),
            Work::Idle => return,
        };
        self.end_work(upstream);
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        // What was fetched may be damaged; after a second failure it is fetched again.
        if replica.failures > 0 {
            replica.fetched.remove(&artifact.job);
        }
        replica.failures += 1;
        if replica.failures < self.settings.max_failures {
            self.set_timer(now + self.settings.backoff, upstream);
        } else {
            replica.failures = 0;
            self.set_aside(now, upstream, artifact, out);
        }
        self.sources.forget(upstream);
        self.offer(upstream);
        self.dequeue(upstream);
    }

    /// Keeps rollouts off an engine; after a while it is tried again.
    fn set_aside(
        &mut self,
        now: Millis,
        upstream: &UpstreamId,
        artifact: Artifact,
        out: &mut Actions,
    ) {
        self.set_timer(now + self.settings.aside, upstream);
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        if !replica.aside {
            replica.aside = true;
            out.push(SwapAction::SetAside {
                upstream: upstream.clone(),
                artifact,
            });
        }
    }

    pub(super) fn set_timer(&mut self, at: Millis, upstream: &UpstreamId) {
        if let Some(replica) = self.replicas.get_mut(upstream) {
            replica.timer = Some(at);
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
        let Some(replica) = self.replicas.get_mut(upstream) else {
            return;
        };
        replica.timer = None;
        match replica.work {
            Work::Fetching { .. } | Work::Swapping { .. } => self.fail(now, upstream, out),
            Work::Idle => self.enqueue(upstream),
        }
    }
}
