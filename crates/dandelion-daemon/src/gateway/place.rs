//! Chooses the upstream of an attempt, and gets the permit to run a suspected content there.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_route::pick::Ending;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use rand::Rng;

use crate::core::Handle;
use crate::gateway::forward::Call;
use crate::gateway::quarantine::Denied;
use crate::gateway::quarantine::Held;
use crate::gateway::quarantine::Permit;
use crate::gateway::quarantine::Standing;

/// Pause before a suspected content asks again for an upstream without another trial; most requests
/// are answered within a few of these.
const TRIAL_POLL: Duration = Duration::from_millis(20);

/// An upstream that was chosen for an attempt, and the permit to run the content there.
pub(super) struct Placed {
    pub upstream: UpstreamIncarnation,
    pub permit: Permit,
    pub in_flight: InFlight,
}

impl Call<'_> {
    /// Chooses an upstream and gets the permit to run the content there. Fails with what holds the
    /// content, or with nothing if there is no upstream left.
    pub(super) async fn place(&self, tried: &[UpstreamId]) -> Result<Placed, Option<Held>> {
        let quarantine = &self.core.gateway.quarantine;
        loop {
            let permit = match quarantine.check(self.core, self.content) {
                Standing::Clear => {
                    return self
                        .pick(tried)
                        .map(|u| self.placed(u, Permit::Free))
                        .ok_or(None);
                }
                Standing::Blocked(held) => return Err(Some(held)),
                Standing::Suspected => self.place_trial(tried).await?,
            };
            if let Some(placed) = permit {
                return Ok(placed);
            }
            if Instant::now() + TRIAL_POLL >= self.deadline {
                return Err(None);
            }
            task::sleep(TRIAL_POLL).await;
        }
    }

    /// Asks for a trial on an upstream that runs no other trial; returns none if there is no such
    /// upstream now.
    async fn place_trial(&self, tried: &[UpstreamId]) -> Result<Option<Placed>, Option<Held>> {
        let busy = self.trial_upstreams();
        let mut excluded = tried.to_vec();
        excluded.extend(busy.iter().cloned());
        let Some(upstream) = self.pick_from(&excluded) else {
            let occupied = self.pick_from(tried).map(|u| self.placed(u, Permit::Free));
            return if occupied.is_some() {
                Ok(None)
            } else {
                Err(None)
            };
        };
        let placed = self.placed(upstream, Permit::Free);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let quarantine = &self.core.gateway.quarantine;
        let id = &placed.upstream.id;
        match quarantine
            .begin_trial(self.core, self.content, id, remaining)
            .await
        {
            Ok(permit) => {
                event!(
                    Event::TrialBegun,
                    request = self.id,
                    route = self.route.name,
                    fingerprint = format!("{:016x}", self.content.0),
                    upstream = id,
                    cleared = !permit.is_trial()
                );
                Ok(Some(Placed { permit, ..placed }))
            }
            Err(Denied::Occupied) => Ok(None),
            Err(Denied::Held(held)) => Err(Some(held)),
        }
    }

    fn placed(&self, upstream: UpstreamIncarnation, permit: Permit) -> Placed {
        let in_flight = InFlight {
            core: self.core.clone(),
            upstream: upstream.clone(),
            started: Instant::now(),
            ending: Ending::Abandoned,
        };
        Placed {
            upstream,
            permit,
            in_flight,
        }
    }

    /// Returns the upstreams that run trials.
    fn trial_upstreams(&self) -> Vec<UpstreamId> {
        let view = self.core.control.view();
        let now = clock::wall_now();
        let trials = view.quarantine.values().filter_map(|s| s.trial.as_ref());
        let running = trials.filter(|trial| now < trial.expires);
        running.map(|trial| trial.upstream.clone()).collect()
    }

    /// Chooses an upstream that was not tried, one without a trial if possible.
    fn pick(&self, tried: &[UpstreamId]) -> Option<UpstreamIncarnation> {
        let mut excluded = self.trial_upstreams();
        if excluded.is_empty() {
            return self.pick_from(tried);
        }
        excluded.extend_from_slice(tried);
        self.pick_from(&excluded).or_else(|| self.pick_from(tried))
    }

    fn pick_from(&self, excluded: &[UpstreamId]) -> Option<UpstreamIncarnation> {
        let service = self.route.pick(rand::rng().random())?;
        let view = self.core.control.view();
        let zone = &self.core.identity.zone;
        let mut picker = self.core.gateway.picker();
        let now = clock::boot_now();
        let chosen = picker.pick(now, view.incarnations.iter(), service, zone, excluded);
        chosen.cloned()
    }
}

/// A request in flight at an upstream. Dropping it reports the end to the picker of upstreams,
/// also if the caller disconnects.
pub(super) struct InFlight {
    core: Handle,
    pub upstream: UpstreamIncarnation,
    pub started: Instant,
    pub ending: Ending,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut picker = self.core.gateway.picker();
        picker.end(clock::boot_now(), &self.upstream, self.ending);
    }
}
