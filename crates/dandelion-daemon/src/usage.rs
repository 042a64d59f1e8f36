//! Usage counters of this daemon, their copies in another zone, and their submission.

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

use crate::control::Failed;
use crate::core::Handle;
use crate::core::Identity;

/// Time between two copies of the counters, and so, with one sending, the usage that a lost VM can cost.
const COPY_PERIOD: Duration = Duration::from_millis(400);

/// Longest wait for the copy holder.
const COPY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a daemon that took no copy is passed over as holder.
const SUSPECT_TIME: Millis = Millis::from_secs(5);

/// Holders asked in one round.
const HOLDERS: usize = 3;

/// A life of a daemon that keeps copies; a new life has none.
type Holder = (DaemonId, Incarnation);

type Sequence = (WindowId, u64);

#[derive(Debug)]
struct State {
    counters: UsageCounters,
    copies: CopyStore,
    copied: BTreeSet<Sequence>,
    holder: Option<Holder>,
    suspects: BTreeMap<DaemonId, Millis>,
    submitted: BTreeSet<Sequence>,
    orphans: Vec<CounterReport>,
}

/// Usage of this daemon.
#[derive(Debug)]
pub struct Usage {
    length: Millis,
    state: Mutex<State>,
}

/// Returns the window that `wall` falls into.
pub fn window_at(wall: WallMillis, length: Millis) -> WindowId {
    WindowId(wall.0 / length.0.max(1))
}

impl Usage {
    /// Opens empty counters for this life of the daemon.
    pub fn open(identity: &Identity, length: Millis) -> Self {
        let current = window_at(clock::wall_now(), length);
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
            length,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Counts finished work.
    pub fn record(&self, team: &TeamId, class: Class, counts: &Counts) {
        self.lock().counters.record(team, class, counts);
    }

    /// Keeps copies for another daemon.
    pub fn keep(&self, reports: Vec<CounterReport>) {
        let mut state = self.lock();
        for report in reports {
            state.copies.keep(report);
        }
    }

    /// Takes over the counters of daemons that have left or started a new life.
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

    /// Closes every window before the process stops.
    pub fn close_all(&self) {
        self.lock().counters.close_all();
    }

    fn advance(&self) {
        let current = window_at(clock::wall_now(), self.length);
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

    /// Returns closed windows that are not submitted, and those of lost daemons.
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

    /// Returns the daemons that took no copy lately.
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

fn trim(marks: &mut BTreeSet<Sequence>) {
    const KEPT: usize = 256;
    while marks.len() > KEPT {
        marks.pop_first();
    }
}

/// Copies the counters until the process ends; it waits for no leader.
pub async fn run_copies(core: Handle) {
    loop {
        task::sleep(COPY_PERIOD).await;
        core.usage.advance();
        copy(&core).await;
    }
}

/// Submits the counters until the process ends; a proposal may wait for a takeover.
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

/// Copies to the holder, and to others if it does not answer.
async fn copy(core: &Handle) {
    for _ in 0..HOLDERS {
        let Some(holder) = copy_holder(core) else {
            return;
        };
        if copy_to(core, &holder).await {
            return;
        }
        core.usage.suspect(&holder.0, clock::boot_now());
    }
}

/// Returns whether the holder has all counters.
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

/// Chooses the holder: by rendezvous hash among the daemons of other zones, else of the own.
fn copy_holder(core: &Handle) -> Option<Holder> {
    let view = core.control.view();
    let own = &core.identity;
    let suspects = core.usage.suspects(clock::boot_now());
    let others = || {
        view.members
            .iter()
            .filter(|m| m.id != own.daemon && !m.leaving && !suspects.contains(&m.id))
    };
    let away = others().filter(|m| m.zone != own.zone);
    let key = own.daemon.as_str().as_bytes();
    let holder = ownership::rendezvous(key, away.map(|m| &m.id));
    let holder = holder.or_else(|| ownership::rendezvous(key, others().map(|m| &m.id)))?;
    let member = view.member(holder)?;
    Some((member.id.clone(), member.incarnation))
}

async fn submit(core: &Handle) {
    for report in core.usage.unsubmitted() {
        let command = UsageCommand::Submit(report.clone());
        match core.propose_own::<UsageTable>(&command).await {
            Ok(_) => core.usage.mark_submitted(&report),
            Err(Failed::Rejected(rejection)) => {
                // A later try is rejected as well, and must not hold up the other windows.
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
