//! What this daemon knows of limits, and the permits that it grants as control leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use dandelion_control::tables::LimitsTable;
use dandelion_net::clock;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::NamedLimit;
use dandelion_route::limits::Grantor;
use dandelion_route::limits::KnownLimits;
use dandelion_route::limits::Replicated;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::CommandError;
use crate::control::View;
use crate::core::Handle;
use crate::gateway::limits::cold;

/// Pause between two rounds in which limits are recorded, so that a limit that changes with each
/// answer costs few changes of the table.
const RECORD_PAUSE: Duration = Duration::from_millis(200);

/// State of the limits at one daemon.
#[derive(Debug)]
pub struct Limits {
    known: Mutex<KnownLimits>,
    grantor: Mutex<Grantor>,
    /// Increases with every change of `known` by an answer.
    version: AtomicU64,
    unrecorded: Sender<()>,
    queue: Receiver<()>,
}

impl Default for Limits {
    fn default() -> Self {
        let (unrecorded, queue) = async_channel::bounded(1);
        Self {
            known: Mutex::default(),
            grantor: Mutex::default(),
            version: AtomicU64::new(0),
            unrecorded,
            queue,
        }
    }
}

impl Limits {
    /// Returns the limit that an upstream names, as far as this daemon knows.
    pub fn limit_of(&self, view: &View, upstream: &UpstreamIncarnation) -> Option<NamedLimit> {
        self.known().limit_of(replicated(view), upstream)
    }

    /// Returns whether an upstream is cold and its service has a cold phase.
    pub fn is_cold(&self, view: &View, upstream: &UpstreamIncarnation) -> bool {
        cold::rate_of(view, &upstream.id, upstream.born).is_some()
    }

    /// Returns under which limits an upstream may be sent to: the one that it names and what it
    /// tolerates while it is cold; none if neither applies.
    pub fn limited(&self, view: &View, upstream: &UpstreamIncarnation) -> Option<LimitedUpstream> {
        let cold = cold::rate_of(view, &upstream.id, upstream.born);
        LimitedUpstream::of(upstream, self.limit_of(view, upstream), cold)
    }

    /// Returns a number that increases when an answer to this daemon changes a limit.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    pub(in crate::gateway) fn known(&self) -> MutexGuard<'_, KnownLimits> {
        self.known.lock().expect("no holder of this lock panics")
    }

    pub(super) fn grantor(&self) -> MutexGuard<'_, Grantor> {
        self.grantor.lock().expect("no holder of this lock panics")
    }

    /// Notes that this daemon is the control leader in `term`.
    pub fn begin_term(&self, term: Term) {
        self.grantor().begin_term(clock::boot_now(), term);
    }

    /// Has the changes that answers made recorded.
    pub(super) fn record_changes(&self) {
        self.version.fetch_add(1, Ordering::AcqRel);
        self.wake_recorder();
    }

    fn wake_recorder(&self) {
        // A full queue has the recorder woken already.
        let _queued = self.unrecorded.try_send(());
    }

    /// Logs the changes of the replicated limits, and forgets what they include by now.
    pub fn update(&self, previous: &View, view: &View) {
        let is_known = |id: &UpstreamId| view.upstream(id).is_some();
        self.known().retain(view.revision, is_known);
        let is_replanned = previous.plan.as_ref().map(|plan| plan.version)
            != view.plan.as_ref().map(|plan| plan.version);
        if is_replanned || !Arc::ptr_eq(&previous.cold, &view.cold) {
            cold::log_changes(previous, view);
        }
        if Arc::ptr_eq(&previous.limits, &view.limits) {
            return;
        }
        let changed = |from: &BTreeMap<UpstreamId, NamedLimit>, id, limit: &NamedLimit| {
            from.get(id) != Some(limit)
        };
        for (id, limit) in view.limits.iter() {
            if changed(&previous.limits, id, limit) {
                log_replicated(view, id, Some(limit));
            }
        }
        for id in previous.limits.keys() {
            if !view.limits.contains_key(id) {
                log_replicated(view, id, None);
            }
        }
    }

    /// Records limits in the replicated table until the process ends.
    pub async fn run_recorder(core: Handle) {
        let limits = &core.gateway.limits;
        while limits.queue.recv().await.is_ok() {
            let reports = limits.known().unrecorded();
            for report in reports {
                match core.propose_own::<LimitsTable>(&report).await {
                    Ok(applied) => limits.known().recorded(&report, applied.revision),
                    Err(CommandError::Unanswered(_)) => limits.wake_recorder(),
                    Err(error) => log::warn!("{report:?} was not recorded: {error}"),
                }
            }
            task::sleep(RECORD_PAUSE).await;
        }
    }
}

/// Returns the replicated limits of a view.
pub(super) fn replicated(view: &View) -> Replicated<'_> {
    Replicated {
        limits: &view.limits,
        revision: view.revision,
    }
}

fn log_replicated(view: &View, upstream: &UpstreamId, limit: Option<&NamedLimit>) {
    event!(
        Event::LimitKnown,
        source = "cell",
        upstream = upstream,
        per_second = limit.map_or_else(|| "none".to_owned(), |l| l.rate.per_second().to_string()),
        revision = view.revision
    );
}
