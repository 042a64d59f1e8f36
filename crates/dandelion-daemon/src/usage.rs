//! Usage counters of this daemon, their copies on another daemon, and their submission.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::task;
use dandelion_fleet::usage::CopyStore;
use dandelion_fleet::usage::UsageCommand;
use dandelion_fleet::usage::UsageCounters;
use dandelion_fleet::usage::UsageTable;
use dandelion_net::clock;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::Counts;
use dandelion_protocol::usage::WindowId;
use dandelion_route::ownership;

use crate::control::CommandError;
use crate::core::Handle;
use crate::core::Identity;

/// Interval between two copies of the counters. A lost VM loses the usage of at most this interval
/// and the transfer of one copy.
const COPY_PERIOD: Duration = Duration::from_millis(400);

/// Longest wait for a holder to confirm a copy.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a daemon that did not confirm a copy is skipped as holder.
const SUSPECT_TIME: Millis = Millis::from_secs(5);

/// Maximum number of holders tried in one round.
const MAX_HOLDERS: usize = 3;

/// One incarnation of a daemon that stores copies; its next incarnation has none.
type Holder = (DaemonId, Incarnation);

/// A window and the sequence number of a report on it.
type Sequence = (WindowId, u64);

#[derive(Debug)]
struct State {
    counters: UsageCounters,
    /// Copies of the counters of other daemons.
    copies: CopyStore,
    /// Reports of this daemon that `holder` has stored.
    copied: BTreeSet<Sequence>,
    holder: Option<Holder>,
    /// Daemons that did not confirm a copy, with the time until which they are skipped.
    suspects: BTreeMap<DaemonId, Millis>,
    submitted: BTreeSet<Sequence>,
    /// Reports of lost daemons that this one submits.
    orphans: Vec<CounterReport>,
}

/// Usage counters of this daemon, and the copies that it stores for others.
#[derive(Debug)]
pub struct Usage {
    window_length: Millis,
    state: Mutex<State>,
}

/// Returns the usage window that contains the time `wall`.
pub fn window_at(wall: WallMillis, window_length: Millis) -> WindowId {
    WindowId(wall.0 / window_length.0.max(1))
}

impl Usage {
    /// Opens empty counters for this incarnation of the daemon.
    pub fn open(identity: &Identity, window_length: Millis) -> Self {
        let current = window_at(clock::wall_now(), window_length);
        let counters = UsageCounters::open(identity.daemon.clone(), identity.incarnation, current);
        let state = State {
            counters,
            copies: CopyStore::default(),
            copied: BTreeSet::new(),
            holder: None,
            suspects: BTreeMap::new(),
            submitted: BTreeSet::new(),
            orphans: Vec::new(),
        };
        Self {
            window_length,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Adds finished work to the current window.
    pub fn record(&self, team: &TeamId, class: Class, counts: &Counts) {
        self.lock().counters.record(team, class, counts);
    }

    /// Stores copies of another daemon's counters.
    pub fn store_copies(&self, reports: Vec<CounterReport>) {
        let mut state = self.lock();
        for report in reports {
            state.copies.keep(report);
        }
    }

    /// Takes over, for submission, the counters of daemons that have left or restarted.
    pub fn members_changed(&self, members: &[Member]) {
        let mut state = self.lock();
        for daemon in state.copies.daemons() {
            let live = members.iter().find(|m| m.id == daemon);
            let lost = state
                .copies
                .take_ended(&daemon, live.map(|m| m.incarnation));
            state.orphans.extend(lost);
        }
    }

    /// Closes all windows, the current one included, before the process stops.
    pub fn close_all(&self) {
        self.lock().counters.close_all();
    }

    fn advance(&self) {
        let current = window_at(clock::wall_now(), self.window_length);
        let mut state = self.lock();
        state.counters.advance(current);
        state.copies.trim(current);
    }

    /// Returns the reports that have changed since they were last copied to `holder`.
    fn uncopied(&self, holder: &Holder) -> Vec<CounterReport> {
        let mut state = self.lock();
        if state.holder.as_ref() != Some(holder) {
            state.holder = Some(holder.clone());
            state.copied.clear();
        }
        let new = |r: &CounterReport| !state.copied.contains(&(r.window, r.sequence));
        let all = state.counters.reports();
        all.into_iter()
            .filter(|r| r.sequence > 0 && new(r))
            .collect()
    }

    /// Returns the reports on closed windows that are not submitted, and those of lost daemons.
    fn unsubmitted(&self) -> Vec<CounterReport> {
        let state = self.lock();
        let new = |r: &CounterReport| !state.submitted.contains(&(r.window, r.sequence));
        let all = state.counters.reports();
        let mut due: Vec<_> = all.into_iter().filter(|r| r.closed && new(r)).collect();
        due.extend(state.orphans.iter().cloned());
        due
    }

    fn suspect(&self, holder: &DaemonId, now: Millis) {
        let mut state = self.lock();
        state.suspects.insert(holder.clone(), now + SUSPECT_TIME);
    }

    /// Returns the daemons that are skipped as holders.
    fn suspects(&self, now: Millis) -> BTreeSet<DaemonId> {
        let mut state = self.lock();
        state.suspects.retain(|_, until| now < *until);
        state.suspects.keys().cloned().collect()
    }

    fn mark_copied(&self, reports: &[CounterReport]) {
        let mut state = self.lock();
        state.copied = reports
            .iter()
            .map(sequence)
            .chain(state.copied.iter().copied())
            .collect();
        trim(&mut state.copied);
    }

    fn mark_submitted(&self, report: &CounterReport) {
        let mut state = self.lock();
        state.submitted.insert(sequence(report));
        state.orphans.retain(|o| o != report);
        trim(&mut state.submitted);
    }
}

fn sequence(report: &CounterReport) -> Sequence {
    (report.window, report.sequence)
}

fn trim(sequences: &mut BTreeSet<Sequence>) {
    const MAX_RETAINED: usize = 256;
    while sequences.len() > MAX_RETAINED {
        sequences.pop_first();
    }
}

/// Copies the counters periodically until the process ends. Needs no control leader.
pub async fn run_copies(core: Handle) {
    loop {
        task::sleep(COPY_PERIOD).await;
        core.usage.advance();
        copy(&core).await;
    }
}

/// Submits the counters periodically until the process ends. A separate task from the copies, since
/// a proposal may wait for a new control leader.
pub async fn run_submissions(core: Handle) {
    loop {
        task::sleep(COPY_PERIOD).await;
        submit(&core).await;
    }
}

/// Submits everything before the process stops.
pub async fn submit_all(core: &Handle) {
    core.usage.close_all();
    submit(core).await;
}

/// Copies to the holder, or to the next one if it does not confirm.
async fn copy(core: &Handle) {
    for _ in 0..MAX_HOLDERS {
        let Some(holder) = copy_holder(core) else {
            return;
        };
        if copy_to(core, &holder).await {
            return;
        }
        core.usage.suspect(&holder.0, clock::boot_now());
    }
}

/// Copies what `holder` lacks; returns whether it then has all counters.
async fn copy_to(core: &Handle, holder: &Holder) -> bool {
    let reports = core.usage.uncopied(holder);
    if reports.is_empty() {
        return true;
    }
    let Some(mesh) = core.mesh() else {
        return false;
    };
    let call = CallBody::CopyUsage(reports.clone());
    match mesh.call(&holder.0, call, COPY_TIMEOUT).await {
        Ok(ReplyBody::Copied) => {
            core.usage.mark_copied(&reports);
            true
        }
        other => {
            log::debug!("usage was not copied to {}: {other:?}", holder.0);
            false
        }
    }
}

/// Chooses the holder by rendezvous hashing among the daemons of other zones, or of this zone if
/// there are no others.
fn copy_holder(core: &Handle) -> Option<Holder> {
    let view = core.control.view();
    let own = &core.identity;
    let suspects = core.usage.suspects(clock::boot_now());
    let others = || {
        view.members
            .iter()
            .filter(|m| m.id != own.daemon && !m.leaving && !suspects.contains(&m.id))
    };
    let remote = others().filter(|m| m.zone != own.zone);
    let key = own.daemon.as_str().as_bytes();
    let holder = ownership::rendezvous(key, remote.map(|m| &m.id));
    let holder = holder.or_else(|| ownership::rendezvous(key, others().map(|m| &m.id)))?;
    let member = view.member(holder)?;
    Some((member.id.clone(), member.incarnation))
}

async fn submit(core: &Handle) {
    for report in core.usage.unsubmitted() {
        let command = UsageCommand::Submit(report.clone());
        match core.propose_own::<UsageTable>(&command).await {
            Ok(_) => core.usage.mark_submitted(&report),
            Err(CommandError::Rejected(rejection)) => {
                // A retry would be rejected as well and would block the other windows.
                log::warn!("usage of window {} is lost: {rejection}", report.window.0);
                core.usage.mark_submitted(&report);
            }
            Err(error) => {
                log::debug!(
                    "usage of window {} is not submitted: {error}",
                    report.window.0
                );
                return;
            }
        }
    }
}
