//! Chooses the upstream of an attempt, and gets the permit to run a suspected content there.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_net::clock;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::time::Millis;
use dandelion_route::pick::Ending;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::gateway::admit::Admitted;
use crate::gateway::admit::Shortage;
use crate::gateway::answer::LEASE_RETRY_DELAY;
use crate::gateway::forward::Call;
use crate::gateway::gate;
use crate::gateway::quarantine::Denied;
use crate::gateway::quarantine::Held;
use crate::gateway::quarantine::Permit;
use crate::gateway::quarantine::Standing;

/// Pause before a suspected content asks again for an upstream without another trial; most requests
/// are answered within a few of these.
const TRIAL_POLL: Duration = Duration::from_millis(20);

/// An upstream that was chosen for an attempt, and the permits to run the content there.
pub(super) struct Placed {
    pub upstream: UpstreamIncarnation,
    /// How the quarantine admits the content.
    pub permit: Permit,
    /// Permit of an upstream that names a limit.
    pub rate_permit: Option<RatePermit>,
    pub in_flight: InFlight,
}

impl Call<'_> {
    /// Chooses an upstream and gets the permits to run the content there. Fails with what holds the
    /// request, or with nothing if there is no upstream left.
    pub(super) async fn place(&self, tried: &[UpstreamId]) -> Result<Placed, Option<Held>> {
        let quarantine = &self.core.gateway.quarantine;
        loop {
            if !gate::is_current(self.core) {
                return Err(Some(Held {
                    reason: "no_lease",
                    retry: LEASE_RETRY_DELAY,
                }));
            }
            let placed = match quarantine.check(self.core, self.content) {
                Standing::Clear => {
                    let admitted = self.admit_clear(tried).await.map_err(held_by)?;
                    // Asking for a permit takes time, in which the content may have become suspected.
                    if quarantine.check(self.core, self.content) != Standing::Clear {
                        continue;
                    }
                    Some(self.placed(admitted))
                }
                Standing::Blocked(held) => return Err(Some(held)),
                Standing::Suspected => self.place_trial(tried).await?,
            };
            if let Some(placed) = placed {
                return Ok(placed);
            }
            if Instant::now() + TRIAL_POLL >= self.deadline {
                return Err(None);
            }
            task::sleep(TRIAL_POLL).await;
        }
    }

    /// Chooses an upstream that was not tried, one without a trial if possible.
    async fn admit_clear(&self, tried: &[UpstreamId]) -> Result<Admitted, Shortage> {
        let mut excluded = self.trial_upstreams();
        if excluded.is_empty() {
            return self.admit(tried).await;
        }
        excluded.extend_from_slice(tried);
        match self.admit(&excluded).await {
            Ok(admitted) => Ok(admitted),
            Err(_) => self.admit(tried).await,
        }
    }

    /// Asks for a trial on an upstream that runs no other trial; returns none if there is no such
    /// upstream now.
    async fn place_trial(&self, tried: &[UpstreamId]) -> Result<Option<Placed>, Option<Held>> {
        let mut excluded = self.trial_upstreams();
        excluded.extend_from_slice(tried);
        let placed = match self.admit(&excluded).await {
            Ok(admitted) => self.placed(admitted),
            Err(Shortage::NoUpstream) if self.has_upstream(tried) => return Ok(None),
            Err(shortage) => return Err(held_by(shortage)),
        };
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

    fn placed(&self, admitted: Admitted) -> Placed {
        let Admitted { upstream, permit } = admitted;
        self.core.gateway.picker().begin(&upstream);
        let in_flight = InFlight {
            core: self.core.clone(),
            upstream: upstream.clone(),
            revision: self.core.control.revision(),
            lease_left: self.core.control.lease_left(),
            started: Instant::now(),
            ending: Ending::Abandoned,
        };
        Placed {
            upstream,
            permit: Permit::Free,
            rate_permit: permit,
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
}

/// Returns what holds a request, or none if there is no upstream.
fn held_by(shortage: Shortage) -> Option<Held> {
    match shortage {
        Shortage::NoUpstream => None,
        Shortage::Limited(held) => Some(held),
    }
}

/// A request in flight at an upstream. Dropping it reports the end to the picker of upstreams,
/// also if the caller disconnects.
pub(super) struct InFlight {
    core: Handle,
    pub upstream: UpstreamIncarnation,
    /// Revision of the view by which the upstream was chosen.
    pub revision: Revision,
    /// Time that was left of this daemon's lease when the upstream was chosen.
    pub lease_left: Millis,
    pub started: Instant,
    pub ending: Ending,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut picker = self.core.gateway.picker();
        picker.end(clock::boot_now(), &self.upstream, self.ending);
    }
}
