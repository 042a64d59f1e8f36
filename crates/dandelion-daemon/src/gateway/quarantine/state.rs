//! What an entry knows of suspected contents.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use dandelion_control::tables::QuarantineCommand;
use dandelion_control::tables::QuarantineTable;
use dandelion_net::clock;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::quarantine::Admission;
use dandelion_protocol::quarantine::EndedUpstream;
use dandelion_protocol::quarantine::Suspicion;
use dandelion_protocol::time::Millis;
use dandelion_route::ticket::Fingerprint;

use crate::control::View;
use crate::core::Handle;
use crate::core::new_request_id;
use crate::gateway::quarantine::Denied;
use crate::gateway::quarantine::Held;
use crate::gateway::quarantine::Permit;
use crate::gateway::quarantine::Standing;
use crate::gateway::quarantine::recorder::Change;

/// Longest wait of a caller until its content is recorded as suspected.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the deadline of a trial within which its outcome is reported; it covers a change of
/// the control leader.
const TRIAL_MARGIN: Millis = Millis(4_000);

/// Most changes that wait to be recorded; further ones are dropped.
const MAX_CHANGES: usize = 1_024;

/// Longest wait for the grant of a trial; covers most changes of the control leader.
const GRANT_TIMEOUT: Duration = Duration::from_millis(700);

/// Most contents whose suspicion may be missing in the view.
const MAX_RECENT: usize = 1_024;

/// Most runs without an outcome whose upstreams are watched.
const MAX_WATCHED: usize = 256;

/// Time for which the upstream of a run without an outcome is watched: most upstreams that ended
/// have been replaced by then.
const WATCH_TIME: Millis = Millis(10_000);

/// A run of which it is not known whether its upstream ended.
#[derive(Debug)]
pub(super) struct WatchedRun {
    pub content: Fingerprint,
    pub upstream: EndedUpstream,
    pub trial: Option<RequestId>,
    pub at: Millis,
}

/// What this entry knows beyond the view.
#[derive(Debug, Default)]
pub(super) struct Local {
    /// Suspected contents, each with the revision of its record; none until it is recorded.
    pub recent: BTreeMap<Fingerprint, Option<Revision>>,
    watched: VecDeque<WatchedRun>,
}

/// State of the quarantine at one entry.
#[derive(Debug)]
pub struct Quarantine {
    local: Mutex<Local>,
    pub(super) changes: Sender<Change>,
    pub(super) queue: Receiver<Change>,
}

impl Default for Quarantine {
    fn default() -> Self {
        let (changes, queue) = async_channel::bounded(MAX_CHANGES);
        Self {
            local: Mutex::default(),
            changes,
            queue,
        }
    }
}

/// A trial that was asked for. Dropping it gives the trial back.
struct RequestedTrial {
    core: Handle,
    content: Fingerprint,
    trial: Option<RequestId>,
}

impl RequestedTrial {
    /// Keeps the trial, if it was granted.
    fn keep(mut self) {
        self.trial = None;
    }
}

impl Drop for RequestedTrial {
    fn drop(&mut self) {
        if let Some(trial) = self.trial {
            let quarantine = &self.core.gateway.quarantine;
            quarantine.release(self.content, trial, false);
        }
    }
}

impl Quarantine {
    pub(super) fn local(&self) -> MutexGuard<'_, Local> {
        self.local.lock().expect("no holder of this lock panics")
    }

    /// Returns whether a content may run freely, only in a trial, or not now.
    pub fn check(&self, core: &Handle, content: Fingerprint) -> Standing {
        let view = core.control.view();
        let known = view.quarantine.get(&content.0);
        if known.is_none() && !self.is_recent(content, view.revision) {
            return Standing::Clear;
        }
        let blocked = known.and_then(Suspicion::blocked_until);
        match blocked.filter(|until| clock::wall_now() < *until) {
            Some(until) => Standing::Blocked(Held::until(until)),
            None => Standing::Suspected,
        }
    }

    /// Asks for a trial of a suspected content on an upstream. `remaining` is the time until the
    /// request's deadline.
    pub async fn begin_trial(
        &self,
        core: &Handle,
        content: Fingerprint,
        upstream: &UpstreamId,
        remaining: Duration,
    ) -> Result<Permit, Denied> {
        let trial = new_request_id();
        let command = QuarantineCommand::Begin {
            content: content.0,
            trial,
            upstream: upstream.clone(),
            limit: Millis(remaining.as_millis() as u64) + TRIAL_MARGIN,
        };
        // The grant may take effect although its answer is lost or no longer waited for.
        let requested = RequestedTrial {
            core: core.clone(),
            content,
            trial: Some(trial),
        };
        let limit = remaining.min(GRANT_TIMEOUT);
        let granted = core.propose_own::<QuarantineTable>(&command);
        let Ok(Ok(applied)) = timeout(limit, granted).await else {
            return Err(Denied::Held(Held::briefly("no_control_leader")));
        };
        requested.keep();
        self.decide(content, trial, applied.reply)
    }

    fn decide(
        &self,
        content: Fingerprint,
        trial: RequestId,
        admission: Admission,
    ) -> Result<Permit, Denied> {
        match admission {
            Admission::Granted => Ok(Permit::Trial(trial)),
            Admission::Clear if self.is_unrecorded(content) => {
                Err(Denied::Held(Held::briefly("not_recorded")))
            }
            Admission::Clear => {
                self.local().recent.remove(&content);
                Ok(Permit::Free)
            }
            Admission::Suspected => Err(Denied::Held(Held::briefly("trial_in_progress"))),
            Admission::Occupied => Err(Denied::Occupied),
            Admission::Blocked(until) => Err(Denied::Held(Held::until(until))),
        }
    }

    /// Returns whether this entry suspects a content that the view of `revision` may not show yet.
    fn is_recent(&self, content: Fingerprint, revision: Revision) -> bool {
        let mut local = self.local();
        match local.recent.get(&content) {
            Some(Some(recorded)) if *recorded <= revision => {
                local.recent.remove(&content);
                false
            }
            known => known.is_some(),
        }
    }

    fn is_unrecorded(&self, content: Fingerprint) -> bool {
        self.local().recent.get(&content) == Some(&None)
    }

    fn mark_recent(&self, content: Fingerprint) {
        let mut local = self.local();
        if local.recent.len() < MAX_RECENT {
            local.recent.insert(content, None);
        }
    }

    /// Suspects a content at this entry and records it. Returns once it is recorded or
    /// [`RECORD_TIMEOUT`] has passed; in that case it is recorded later.
    pub(super) async fn suspect(
        &self,
        content: Fingerprint,
        upstream: EndedUpstream,
        trial: Option<RequestId>,
    ) {
        self.mark_recent(content);
        let command = QuarantineCommand::Ended {
            content: content.0,
            upstream,
            trial,
        };
        let recorded = self.propose(command);
        if timeout(RECORD_TIMEOUT, recorded.recv()).await.is_err() {
            log::warn!(
                "content {:016x} is not recorded as suspected yet",
                content.0
            );
        }
    }

    /// Ends a trial whose upstream was neither seen to answer nor to end; `interrupted` says whether
    /// the upstream may have run it.
    pub(super) fn release(&self, content: Fingerprint, trial: RequestId, interrupted: bool) {
        let command = QuarantineCommand::Release {
            content: content.0,
            trial,
            interrupted,
        };
        drop(self.propose(command));
    }

    /// Clears a content that an upstream answered, if it is suspected.
    pub(super) fn pass(&self, core: &Handle, content: Fingerprint, permit: Permit) {
        let view = core.control.view();
        let suspected = permit.is_trial()
            || view.quarantine.contains_key(&content.0)
            || self.is_recent(content, view.revision);
        if suspected {
            let content = content.0;
            drop(self.propose(QuarantineCommand::Pass { content }));
        }
    }

    pub(super) fn watch(&self, run: WatchedRun) {
        let mut local = self.local();
        if local.watched.len() >= MAX_WATCHED {
            local.watched.pop_front();
        }
        local.watched.push_back(run);
    }

    /// Suspects the contents of runs without an outcome whose upstreams have ended since.
    pub fn update_upstreams(&self, core: &Handle, previous: &View, view: &View) {
        let now = clock::boot_now();
        let mut ended = Vec::new();
        let mut local = self.local();
        local
            .recent
            .retain(|_, recorded| recorded.is_none_or(|r| r > view.revision));
        local.watched.retain(|run| now < run.at + WATCH_TIME);
        let watched = std::mem::take(&mut local.watched);
        for run in watched {
            if find(view, &run.upstream).is_some() {
                local.watched.push_back(run);
            } else if find(previous, &run.upstream).is_some_and(|u| u.ready) {
                ended.push(run);
            }
        }
        drop(local);
        for run in ended {
            let core = core.clone();
            task::spawn(async move {
                let quarantine = &core.gateway.quarantine;
                quarantine
                    .suspect(run.content, run.upstream, run.trial)
                    .await;
            });
        }
    }
}

pub(super) fn find<'a>(
    view: &'a View,
    upstream: &EndedUpstream,
) -> Option<&'a UpstreamIncarnation> {
    view.upstream(&upstream.id)
        .filter(|known| known.born == upstream.born)
}
