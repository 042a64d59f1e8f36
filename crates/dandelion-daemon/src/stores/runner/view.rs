//! Passes changes of the cell's replicated state to the scheduler.

use std::sync::Arc;

use dandelion_batch::scheduler::Event;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::plan::RoutePlan;

use crate::control::View;
use crate::gateway::gate;
use crate::stores::runner::Runner;

impl Runner {
    /// Returns the service with the highest weight on the job's route, under the current plan.
    pub(super) fn service_of(&self, job: &BatchJob) -> Option<ServiceId> {
        service_of(self.view.plan.as_deref()?, job)
    }

    /// Returns the engines, each with the number of tokens that fit in its memory. None is ready while
    /// the view may be too old, nor is one that has said that it leaves or whose zone is evacuated.
    fn engines(&self, view: &View) -> Vec<(UpstreamIncarnation, Option<u64>)> {
        let leaving = self.core.gateway.leaving.known();
        let engines = engines(view).map(|(mut engine, memory)| {
            engine.ready &= self.is_current && !leaving.leaves(&engine);
            engine.ready &= !view.is_evacuated(&engine.zone);
            (engine, Some(memory))
        });
        engines.collect()
    }

    /// Loads the newest view of the cell and notifies the scheduler of what has changed.
    pub(super) fn refresh(&mut self) {
        let is_current = gate::is_current(&self.core);
        let view = self.core.control.view();
        let limits_version = self.core.gateway.limits.version();
        let leaving_version = self.core.gateway.leaving.version();
        let is_learnt = limits_version != self.limits_version
            || leaving_version != self.leaving_version
            || is_current != self.is_current;
        if view.revision == self.view.revision && !is_learnt {
            return;
        }
        self.limits_version = limits_version;
        self.leaving_version = leaving_version;
        self.is_current = is_current;
        let previous = std::mem::replace(&mut self.view, view);
        let view = Arc::clone(&self.view);
        let is_replanned = version_of(&previous) != version_of(&view);
        if is_replanned
            || is_learnt
            || !Arc::ptr_eq(&previous.incarnations, &view.incarnations)
            || !Arc::ptr_eq(&previous.limits, &view.limits)
            || previous.evacuated != view.evacuated
        {
            let engines = &self.engines(&view);
            let limited = &self.limited_upstreams(&view);
            self.handle(Event::Engines { engines, limited });
            self.refresh_scoring(&view);
        }
        if is_replanned {
            let routed = self.jobs.iter();
            let routed: Vec<(String, Option<ServiceId>)> = routed
                .map(|(id, open)| (id.clone(), self.service_of(&open.job)))
                .collect();
            for (job, service) in routed {
                self.handle(Event::Routed { job: &job, service });
            }
        }
        for (model, version) in view.versions.iter() {
            let version = *version;
            self.handle(Event::Named { model, version });
        }
    }
}

fn version_of(view: &View) -> Option<u64> {
    view.plan.as_ref().map(|plan| plan.version)
}

/// Returns the service with the highest weight on the job's route.
fn service_of(plan: &RoutePlan, job: &BatchJob) -> Option<ServiceId> {
    route_of(plan, &job.host, &job.path).map(|(service, _)| service)
}

/// Returns the service with the highest weight on the route of a host and path, and the attempts of
/// that route.
pub(super) fn route_of(plan: &RoutePlan, host: &str, path: &str) -> Option<(ServiceId, u32)> {
    let route = plan.route(host, path)?;
    let shares = route.shares.iter().filter(|s| s.weight > 0);
    let share = shares.max_by_key(|s| s.weight)?;
    Some((share.service.clone(), route.attempts))
}

/// Returns the engines, each with the number of tokens that fit in its memory.
fn engines(view: &View) -> impl Iterator<Item = (UpstreamIncarnation, u64)> + '_ {
    let memory = move |incarnation: &UpstreamIncarnation| {
        let service = view
            .plan
            .as_ref()
            .and_then(|p| p.service(&incarnation.service));
        service.and_then(|s| s.memory)
    };
    let incarnations = view.incarnations.iter();
    incarnations.filter_map(move |incarnation| Some((incarnation.clone(), memory(incarnation)?)))
}
