//! Chooses the upstream of an attempt, with a permit if it names a limit or is cold.

use std::sync::Arc;

use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::Grant;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::time::Millis;
use dandelion_route::limits::retry_delay;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use rand::Rng;

use crate::control::View;
use crate::gateway::answer::RETRY_DELAY;
use crate::gateway::forward::Call;
use crate::gateway::limits;
use crate::gateway::limits::Asked;
use crate::gateway::quarantine::Held;

/// An upstream that may get the request, and the permit to send it there if the upstream names a
/// limit.
pub(super) struct Admitted {
    pub upstream: UpstreamIncarnation,
    pub permit: Option<RatePermit>,
}

/// Why no upstream may get the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shortage {
    /// There is none that was not excluded.
    NoUpstream,
    /// All that there are name limits, and no permit is left.
    Limited(Held),
}

/// Upstreams of a service by preference.
struct Candidates {
    /// Upstreams that name a limit, of those preferred to `open`.
    limited: Vec<(UpstreamIncarnation, LimitedUpstream)>,
    /// The best upstream that names none.
    open: Option<UpstreamIncarnation>,
}

impl Call<'_> {
    /// Chooses an upstream that is not excluded. One that names a limit is chosen if it has a permit
    /// left; otherwise the best one without a limit.
    pub(super) async fn admit(&self, excluded: &[UpstreamId]) -> Result<Admitted, Shortage> {
        let view = self.core.control.view();
        let candidates = self.candidates(&view, excluded);
        let mut wait = Millis::ZERO;
        if !candidates.limited.is_empty() {
            match self.take_permit(&candidates).await {
                Ok(admitted) => return Ok(admitted),
                Err(until_next) => wait = until_next,
            }
        }
        if let Some(upstream) = candidates.open {
            return Ok(Admitted {
                upstream,
                permit: None,
            });
        }
        if candidates.limited.is_empty() {
            return Err(Shortage::NoUpstream);
        }
        let rates = candidates.limited.iter().map(|(_, u)| u.rate());
        let retry = retry_delay(wait, rates, rand::rng().random());
        Err(Shortage::Limited(Held {
            reason: "upstreams_limited",
            retry: retry.max(RETRY_DELAY),
        }))
    }

    /// Returns whether there is an upstream that is not excluded.
    pub(super) fn has_upstream(&self, excluded: &[UpstreamId]) -> bool {
        let view = self.core.control.view();
        let candidates = self.candidates(&view, excluded);
        candidates.open.is_some() || !candidates.limited.is_empty()
    }

    fn candidates(&self, view: &Arc<View>, excluded: &[UpstreamId]) -> Candidates {
        let mut candidates = Candidates {
            limited: Vec::new(),
            open: None,
        };
        // A stream that is taken up stays with the service at which it began.
        let drawn = self.route.pick(rand::rng().random());
        let Some(service) = self.origin().map(|origin| &origin.service).or(drawn) else {
            return candidates;
        };
        let zone = &self.core.identity.zone;
        let now = clock::boot_now();
        let picker = self.core.gateway.picker();
        let leaving = self.core.gateway.leaving.known();
        let fits = |u: &&UpstreamIncarnation| {
            !leaving.leaves(u) && !view.is_evacuated(&u.zone) && self.may_go_on_at(u)
        };
        let staying = view.incarnations.iter().filter(fits);
        let limits = &self.core.gateway.limits;
        let is_cold = |upstream: &UpstreamIncarnation| limits.is_cold(view, upstream);
        let ranked = picker.rank(now, staying, service, zone, excluded, is_cold);
        for upstream in ranked {
            let Some(limited) = self.core.gateway.limits.limited(view, upstream) else {
                candidates.open = Some(upstream.clone());
                break;
            };
            candidates.limited.push((upstream.clone(), limited));
        }
        candidates
    }

    /// Takes a permit of the first upstream that has one. Fails with the time until one may have.
    async fn take_permit(&self, candidates: &Candidates) -> Result<Admitted, Millis> {
        let now = clock::boot_now();
        let waits = {
            let known = self.core.gateway.limits.known();
            let limited = candidates.limited.iter();
            let waits = limited.map(|(upstream, _)| known.wait_for(now, &upstream.id));
            waits.collect::<Vec<Millis>>()
        };
        let askable = candidates.limited.iter().zip(&waits);
        let askable = askable.filter(|(_, wait)| **wait == Millis::ZERO);
        let upstreams: Vec<LimitedUpstream> = askable.map(|((_, u), _)| u.clone()).collect();
        let shortest = waits.iter().min().copied().unwrap_or_default();
        if upstreams.is_empty() {
            self.log_denied(candidates, "known_empty", shortest);
            return Err(shortest);
        }
        let call = PermitCall {
            upstreams,
            count: 1,
        };
        match limits::ask(self.core, call).await {
            Asked::Granted(grant, until) => self.admitted(candidates, &grant, until),
            Asked::Denied(wait) => {
                self.log_denied(candidates, "no_permit_left", wait);
                Err(wait)
            }
            Asked::NoLeader => {
                self.log_denied(candidates, "no_control_leader", RETRY_DELAY);
                Err(RETRY_DELAY)
            }
        }
    }

    fn admitted(
        &self,
        candidates: &Candidates,
        grant: &Grant,
        until: Millis,
    ) -> Result<Admitted, Millis> {
        let mut limited = candidates.limited.iter();
        let chosen = limited.find(|(upstream, _)| upstream.id == grant.upstream);
        let Some((upstream, limited)) = chosen else {
            log::warn!("a permit of {} was not asked for", grant.upstream);
            return Err(RETRY_DELAY);
        };
        event!(
            Event::PermitTaken,
            request = self.id,
            upstream = upstream.id,
            permit = grant.first,
            per_second = limited.rate().per_second(),
            count = grant.count
        );
        Ok(Admitted {
            upstream: upstream.clone(),
            permit: Some(RatePermit {
                number: grant.first,
                until,
            }),
        })
    }

    fn log_denied(&self, candidates: &Candidates, reason: &str, wait: Millis) {
        event!(
            Event::PermitDenied,
            request = self.id,
            route = self.route.name,
            limited = candidates.limited.len(),
            reason = reason,
            wait_ms = wait.0,
            elsewhere = candidates.open.is_some()
        );
    }
}
