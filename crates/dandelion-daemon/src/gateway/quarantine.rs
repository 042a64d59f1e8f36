//! Keeps contents that end upstreams from ending further ones, whichever entry their copies reach.
//!
//! A content under which an upstream ended is recorded in the replicated table before its caller
//! gets an answer. From then on each run is a trial, of which the table grants one at a time, so
//! that an entry that knows nothing else of the content can't exceed the bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::TrySendError;
use async_std::future::timeout;
use async_std::task;
use dandelion_control::tables::QuarantineCommand;
use dandelion_control::tables::QuarantineTable;
use dandelion_net::clock;
use dandelion_net::http::client::Cause;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::quarantine::Admission;
use dandelion_protocol::quarantine::EndedUpstream;
use dandelion_protocol::quarantine::Suspicion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::CommandError;
use crate::control::View;
use crate::core::Handle;
use crate::core::new_request_id;
use crate::gateway::answer::RETRY_DELAY;

/// Longest wait of a caller until its content is recorded as suspected.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a change that was not acknowledged is proposed again.
const RECORD_RETRY: Duration = Duration::from_millis(200);

/// Time after the deadline of a trial within which its outcome is reported; it covers a change of
/// the control leader.
const TRIAL_MARGIN: Millis = Millis(4_000);

/// Most changes that wait to be recorded; further ones are dropped.
const MAX_CHANGES: usize = 1_024;

/// Changes that are recorded at the same time: few enough that looking for a new control leader
/// costs little, whatever waits.
pub const RECORDERS: usize = 8;

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
struct WatchedRun {
    content: Fingerprint,
    upstream: EndedUpstream,
    trial: Option<RequestId>,
    at: Millis,
}

/// What this entry knows beyond the view.
#[derive(Debug, Default)]
struct Local {
    /// Suspected contents, each with the revision of its record; none until it is recorded.
    recent: BTreeMap<Fingerprint, Option<Revision>>,
    watched: VecDeque<WatchedRun>,
}

/// A change of the quarantine that is to be recorded.
#[derive(Debug)]
struct Change {
    command: QuarantineCommand,
    /// Dropped once the change is recorded.
    recorded: Sender<Infallible>,
}

/// State of the quarantine at one entry.
#[derive(Debug)]
pub struct Quarantine {
    local: Mutex<Local>,
    changes: Sender<Change>,
    queue: Receiver<Change>,
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

/// How a run of a content was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The content is not suspected.
    Free,
    /// As this trial of a suspected content.
    Trial(RequestId),
}

impl Permit {
    /// Returns whether the run is a trial.
    pub fn is_trial(self) -> bool {
        self.trial().is_some()
    }

    fn trial(self) -> Option<RequestId> {
        match self {
            Self::Free => None,
            Self::Trial(trial) => Some(trial),
        }
    }
}

/// What this entry knows of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is not suspected.
    Clear,
    /// It may run in a trial only.
    Suspected,
    /// It may not run.
    Blocked(Held),
}

/// Why a trial did not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The upstream runs a trial of another content.
    Occupied,
    /// The content may not run now.
    Held(Held),
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

/// Why a content may not run now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Reason, as the log shows it.
    pub reason: &'static str,
    /// Delay after which the caller may retry.
    pub retry: Millis,
}

impl Quarantine {
    fn local(&self) -> MutexGuard<'_, Local> {
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
            Some(until) => Standing::Blocked(held_blocked(until)),
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
            return Err(Denied::Held(held("no_control_leader")));
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
                Err(Denied::Held(held("not_recorded")))
            }
            Admission::Clear => {
                self.local().recent.remove(&content);
                Ok(Permit::Free)
            }
            Admission::Suspected => Err(Denied::Held(held("trial_in_progress"))),
            Admission::Occupied => Err(Denied::Occupied),
            Admission::Blocked(until) => Err(Denied::Held(held_blocked(until))),
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
    async fn suspect(
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
    fn release(&self, content: Fingerprint, trial: RequestId, interrupted: bool) {
        let command = QuarantineCommand::Release {
            content: content.0,
            trial,
            interrupted,
        };
        drop(self.propose(command));
    }

    /// Clears a content that an upstream answered, if it is suspected.
    fn pass(&self, core: &Handle, content: Fingerprint, permit: Permit) {
        let view = core.control.view();
        let suspected = permit.is_trial()
            || view.quarantine.contains_key(&content.0)
            || self.is_recent(content, view.revision);
        if suspected {
            let content = content.0;
            drop(self.propose(QuarantineCommand::Pass { content }));
        }
    }

    /// Queues a change to be recorded. The returned channel is closed once it is.
    fn propose(&self, command: QuarantineCommand) -> Receiver<Infallible> {
        let (recorded, done) = async_channel::bounded(1);
        if let Err(TrySendError::Full(change) | TrySendError::Closed(change)) =
            self.changes.try_send(Change { command, recorded })
        {
            log::warn!(
                "too many changes of the quarantine wait; dropped {:?}",
                change.command
            );
            if let QuarantineCommand::Ended { content, .. } = change.command {
                self.local().recent.remove(&Fingerprint(content));
            }
        }
        done
    }

    /// Records queued changes one after the other until the process ends.
    pub async fn run_recorder(core: Handle) {
        let quarantine = &core.gateway.quarantine;
        while let Ok(change) = quarantine.queue.recv().await {
            quarantine.record(&core, &change.command).await;
            drop(change.recorded);
        }
    }

    async fn record(&self, core: &Handle, command: &QuarantineCommand) {
        loop {
            match core.propose_own::<QuarantineTable>(command).await {
                Ok(applied) => return self.recorded(command, applied.revision, applied.reply),
                Err(CommandError::Unanswered(_)) => task::sleep(RECORD_RETRY).await,
                Err(error) => {
                    log::warn!("the quarantine did not accept {command:?}: {error}");
                    return;
                }
            }
        }
    }

    fn recorded(&self, command: &QuarantineCommand, revision: Revision, admission: Admission) {
        let (content, change) = match command {
            QuarantineCommand::Ended { content, .. } => (*content, "upstream_ended"),
            QuarantineCommand::Begin { content, .. } => (*content, "begin"),
            QuarantineCommand::Release { content, .. } => (*content, "released"),
            QuarantineCommand::Pass { content } => (*content, "passed"),
        };
        event!(
            Event::ContentJudged,
            fingerprint = format!("{content:016x}"),
            change = change,
            admission = format!("{admission:?}"),
            revision = revision
        );
        let mut local = self.local();
        let content = Fingerprint(content);
        match command {
            QuarantineCommand::Ended { .. } => {
                if let Some(known) = local.recent.get_mut(&content) {
                    *known = Some(revision);
                }
            }
            QuarantineCommand::Pass { .. } => {
                local.recent.remove(&content);
            }
            QuarantineCommand::Begin { .. } | QuarantineCommand::Release { .. } => (),
        }
    }

    fn watch(&self, run: WatchedRun) {
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

fn find<'a>(view: &'a View, upstream: &EndedUpstream) -> Option<&'a UpstreamIncarnation> {
    let same = |u: &&UpstreamIncarnation| u.id == upstream.id && u.born == upstream.born;
    view.incarnations.iter().find(same)
}

fn held(reason: &'static str) -> Held {
    Held {
        reason,
        retry: RETRY_DELAY,
    }
}

fn held_blocked(until: WallMillis) -> Held {
    let remaining = until.0.saturating_sub(clock::wall_now().0);
    Held {
        reason: "content_blocked",
        retry: Millis(remaining).max(RETRY_DELAY),
    }
}

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
        let accepts = self
            .core
            .gateway
            .client
            .accepts(self.upstream.address)
            .await;
        event!(
            Event::RunInterrupted,
            request = request,
            route = route,
            upstream = self.upstream.id,
            born = self.upstream.born.0,
            fingerprint = format!("{:016x}", self.content.0),
            trial = self.permit.is_trial(),
            accepts = accepts,
            reason = cause
        );
        self.settled = true;
        self.settle(accepts).await;
    }

    async fn settle(&self, accepts: bool) {
        let quarantine = &self.core.gateway.quarantine;
        let upstream = EndedUpstream {
            id: self.upstream.id.clone(),
            born: self.upstream.born,
        };
        let trial = self.permit.trial();
        let view = self.core.control.view();
        let is_leaving = find(&view, &upstream).is_some_and(|u| !u.ready);
        if !accepts && !is_leaving {
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
            task::spawn(async move { run.settle(true).await });
            return;
        }
        task::spawn(async move {
            let accepts = run.core.gateway.client.accepts(run.upstream.address).await;
            run.settle(accepts).await;
        });
    }
}
