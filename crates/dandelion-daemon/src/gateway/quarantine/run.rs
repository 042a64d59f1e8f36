//! One run of a content, whose outcome is reported to the quarantine.

use async_std::task;
use dandelion_net::clock;
use dandelion_net::http::client::Cause;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::quarantine::EndedUpstream;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::gateway::quarantine::Permit;
use crate::gateway::quarantine::state::WatchedRun;
use crate::gateway::quarantine::state::find;
use crate::gateway::reach;
use crate::gateway::reach::Contact;

/// A run of a content at an upstream. If it is dropped without an outcome, because the caller has
/// disconnected or the answer can't be trusted, its upstream is watched.
#[derive(Debug)]
pub struct ContentRun {
    core: Handle,
    content: Fingerprint,
    upstream: UpstreamIncarnation,
    permit: Permit,
    settled: bool,
}

impl ContentRun {
    /// Begins a run that was admitted.
    pub fn begin(
        core: &Handle,
        content: Fingerprint,
        upstream: &UpstreamIncarnation,
        permit: Permit,
    ) -> Self {
        Self {
            core: core.clone(),
            content,
            upstream: upstream.clone(),
            permit,
            settled: false,
        }
    }

    /// Returns how the run was admitted.
    pub fn permit(&self) -> Permit {
        self.permit
    }

    /// The upstream answered the request itself.
    pub fn answered(mut self) {
        self.settled = true;
        let quarantine = &self.core.gateway.quarantine;
        quarantine.pass(&self.core, self.content, self.permit);
    }

    /// The upstream did not run the request.
    pub fn not_run(mut self) {
        self.settled = true;
        if let Permit::Trial(trial) = self.permit {
            let quarantine = &self.core.gateway.quarantine;
            quarantine.release(self.content, trial, false);
        }
    }

    /// The run gave no complete answer. If the upstream has ended, the content is suspected, which
    /// is recorded before this returns unless that takes too long.
    pub async fn interrupted(mut self, request: &str, route: &str, cause: &Cause) {
        let contact = reach::contact(&self.core, &self.upstream).await;
        event!(
            Event::RunInterrupted,
            request = request,
            route = route,
            upstream = self.upstream.id,
            born = self.upstream.born.0,
            fingerprint = format!("{:016x}", self.content.0),
            trial = self.permit.is_trial(),
            accepts = contact == Contact::Accepts,
            own_links = contact != Contact::Unclear,
            reason = cause
        );
        self.settled = true;
        self.settle(contact == Contact::Ended).await;
    }

    /// Suspects the content if its upstream is known to have ended; otherwise watches the upstream.
    async fn settle(&self, ended: bool) {
        let quarantine = &self.core.gateway.quarantine;
        let upstream = EndedUpstream {
            id: self.upstream.id.clone(),
            born: self.upstream.born,
        };
        let trial = self.permit.trial();
        let view = self.core.control.view();
        let is_leaving = find(&view, &upstream).is_some_and(|u| !u.ready);
        if ended && !is_leaving {
            quarantine.suspect(self.content, upstream, trial).await;
            return;
        }
        if let Some(trial) = trial {
            quarantine.release(self.content, trial, !is_leaving);
        }
        if !is_leaving {
            quarantine.watch(WatchedRun {
                content: self.content,
                upstream,
                trial,
                at: clock::boot_now(),
            });
        }
    }
}

impl Drop for ContentRun {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let run = Self {
            core: self.core.clone(),
            content: self.content,
            upstream: self.upstream.clone(),
            permit: self.permit,
            settled: true,
        };
        if !run.permit.is_trial() {
            // Probing after every caller that disconnects would cost a connection each.
            task::spawn(async move { run.settle(false).await });
            return;
        }
        task::spawn(async move {
            let contact = reach::contact(&run.core, &run.upstream).await;
            run.settle(contact == Contact::Ended).await;
        });
    }
}
