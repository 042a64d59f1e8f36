//! Drives the scheduler of batch jobs while this daemon leads the store group.

mod adopt;
mod guard;
mod permits;
mod results;
mod scoring;
mod start;
mod view;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::OrderOutcome;
use dandelion_batch::scheduler::Permits;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::Speed;
use dandelion_batch::scoring::CallId;
use dandelion_batch::scoring::Outcome;
use dandelion_batch::scoring::ScoringQueue;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;
use futures::future::AbortHandle;
use futures::future::Either;
use futures::future::select;

use crate::control::View;
use crate::core::Handle;
use crate::stores::group::StoreEvent;
use crate::stores::orders::LoadOrder;
use crate::stores::run::Output;
use crate::stores::run::RunEnd;

/// Longest time without an event for the scheduler; after it the scheduler gets a tick.
const TICK: Duration = Duration::from_millis(25);

/// Interval at which the leadership is checked while this daemon does not lead.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which the control daemons are notified that this daemon leads.
const ANNOUNCE_PERIOD: Millis = Millis(1_000);

/// Messages of tasks that can be queued for the runner.
const MESSAGE_CAPACITY: usize = 8_192;

/// A message of a run's or an order's task to the runner.
enum TaskMessage {
    Began(RunId),
    Progress(RunId, Speed),
    Ended(RunId, RunEnd),
    Ordered(LoadOrder, OrderOutcome),
    /// Permits for an engine, if there were any, and the time until there may be further ones.
    Permitted(UpstreamIncarnation, Option<Permits>, Millis),
    /// The output of an item of a job is stored and recorded as complete, and is to be scored.
    Completed(String, usize, ListedResult),
    ScoringEnded(CallId, Outcome),
}

/// An open job and the output that was generated for it so far.
struct OpenJob {
    job: Arc<BatchJob>,
    /// When this daemon adopted the job.
    opened_at: Millis,
    /// Outputs of interrupted runs, by index of the item.
    outputs: HashMap<usize, Output>,
    /// Results that are not scored yet, by index of the item.
    unscored: HashMap<usize, ListedResult>,
}

/// A run in progress.
struct ActiveRun {
    job: String,
    item: usize,
    engine: UpstreamId,
    started: Millis,
    /// Revision of the view by which the engine was chosen.
    revision: Revision,
    /// Time that was left of this daemon's lease when the run started.
    lease_left: Millis,
    abort: AbortHandle,
    /// Set to make the run stop so that another engine continues it.
    moved: Arc<AtomicBool>,
}

/// Runs the open jobs for one term in which this daemon leads the store group.
struct Runner {
    core: Handle,
    term: Term,
    scheduler: Scheduler,
    /// Open jobs by id.
    jobs: BTreeMap<String, OpenJob>,
    runs: BTreeMap<RunId, ActiveRun>,
    scoring: ScoringQueue,
    /// Scoring requests in flight.
    scoring_calls: BTreeMap<CallId, AbortHandle>,
    /// When this daemon first saw each job of the table.
    first_seen: BTreeMap<String, Millis>,
    /// Jobs to be adopted once the table can be read, with their unfinished outputs by item.
    deferred: BTreeMap<String, BTreeMap<String, Partial>>,
    view: Arc<View>,
    /// Version of this daemon's own knowledge of limits that the scheduler has.
    limits_version: u64,
    /// Version of this daemon's own knowledge of leaving upstreams that the scheduler has.
    leaving_version: u64,
    /// Whether the view was new enough to choose engines by it.
    is_current: bool,
    /// Whether the scheduler has recorded events that may make runs or loads possible.
    is_advanceable: bool,
    messages: Sender<TaskMessage>,
    /// When the control daemons were last notified that this daemon leads.
    last_announced: Millis,
}

/// Runs the batch jobs whenever this daemon leads the store group, until the process ends.
pub async fn run_jobs(core: Handle) {
    loop {
        let term = core
            .stores
            .replica()
            .and_then(|r| r.leader_term(Millis::ZERO));
        let Some(term) = term.filter(|_| !core.is_stopping()) else {
            while core.stores.queue().try_recv().is_ok() {}
            task::sleep(IDLE_PAUSE).await;
            continue;
        };
        if !core.stores.begin_term(term).await {
            continue;
        }
        event!(LogEvent::JobsTaken, term = term);
        core.gateway
            .set_jobs_leader(Some(core.identity.daemon.clone()));
        let (messages, queue) = async_channel::bounded(MESSAGE_CAPACITY);
        Runner::open(core.clone(), term, messages).run(queue).await;
        event!(LogEvent::JobsLost, term = term);
    }
}

impl Runner {
    fn open(core: Handle, term: Term, messages: Sender<TaskMessage>) -> Self {
        Self {
            core,
            term,
            scheduler: Scheduler::default(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            scoring: ScoringQueue::default(),
            scoring_calls: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            deferred: BTreeMap::new(),
            view: Arc::default(),
            limits_version: 0,
            leaving_version: 0,
            is_current: false,
            is_advanceable: false,
            messages,
            last_announced: Millis::ZERO,
        }
    }

    async fn run(mut self, messages: Receiver<TaskMessage>) {
        self.refresh();
        self.adopt_jobs().await;
        while self.core.stores.leader_term(Millis::ZERO) == Some(self.term)
            && !self.core.is_stopping()
        {
            self.refresh();
            self.advance();
            if self.is_due() {
                self.announce_leader();
                self.core.stores.listings.expire();
                self.expire();
            }
            self.wait(&messages).await;
        }
        let runs = self.runs.values().map(|run| &run.abort);
        for abort in runs.chain(self.scoring_calls.values()) {
            abort.abort();
        }
    }

    /// Waits for a message or an event for at most one tick, then handles all that are queued.
    async fn wait(&mut self, messages: &Receiver<TaskMessage>) {
        let events = self.core.stores.queue().clone();
        let (message, event) = (pin!(messages.recv()), pin!(events.recv()));
        let next = timeout(TICK, select(message, event)).await;
        match next {
            Ok(Either::Left((Ok(message), _))) => self.handle_message(message),
            Ok(Either::Right((Ok(event), _))) => self.handle_event(event),
            Ok(Either::Left((Err(_), _)) | Either::Right((Err(_), _))) | Err(_) => {
                self.handle(Event::Tick);
            }
        }
        for (job, partials) in std::mem::take(&mut self.deferred) {
            self.adopt_job(&job, partials);
        }
        while let Ok(message) = messages.try_recv() {
            self.handle_message(message);
        }
        while let Ok(event) = events.try_recv() {
            self.handle_event(event);
        }
        self.advance();
        self.advance_scoring();
    }

    fn handle_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Submitted(job) => {
                self.adopt_job(&job, BTreeMap::new());
            }
            StoreEvent::Ended(job) => {
                if let Some(open) = self.jobs.get(&job) {
                    event!(
                        LogEvent::JobClosed,
                        job = job,
                        open_ms = (clock::boot_now().0.saturating_sub(open.opened_at.0)),
                        term = self.term
                    );
                }
                self.handle(Event::Ended(&job));
                self.end_scoring(&job);
                self.jobs.remove(&job);
                self.core.stores.partials.delete_job(&job);
            }
            StoreEvent::Reported(report) => self.handle(Event::Reported(&report)),
        }
    }

    fn handle_message(&mut self, message: TaskMessage) {
        match message {
            TaskMessage::Began(run) => self.handle(Event::Began(run)),
            TaskMessage::Progress(run, speed) => self.handle(Event::Progress { run, speed }),
            TaskMessage::Ended(run, ended) => self.end_run(run, ended),
            TaskMessage::Ordered(load, outcome) => self.handle(Event::OrderEnded {
                engine: &load.engine.id,
                model: &load.model,
                version: load.version,
                outcome,
            }),
            TaskMessage::Permitted(engine, permits, wait) => self.handle(Event::Permitted {
                engine: &engine,
                permits,
                wait,
            }),
            TaskMessage::Completed(job, item, result) => self.score_item(&job, item, result),
            TaskMessage::ScoringEnded(call, outcome) => self.finish_scoring(call, outcome),
        }
    }

    /// Returns whether the periodic work is due, and schedules the next time if so.
    fn is_due(&mut self) -> bool {
        let now = clock::boot_now();
        let due = now >= self.last_announced + ANNOUNCE_PERIOD;
        if due {
            self.last_announced = now;
        }
        due
    }

    /// Notifies the control daemons that this daemon leads, so that they forward the reports of
    /// engines to it.
    fn announce_leader(&self) {
        let Some(mesh) = self.core.mesh() else {
            return;
        };
        let control = self.view.members.iter().filter(|m| m.role == Role::Control);
        for member in control {
            // The next announcement replaces a lost one.
            let _lost = mesh.send(&member.id, MeshMessage::JobsLeader(self.term));
        }
    }

    /// Passes an event to the scheduler. What it makes possible is started by [`Self::advance`].
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = clock::boot_now();
        self.is_advanceable |= self.scheduler.record(now, event, &mut actions);
        self.execute_all(actions);
    }

    /// Starts the runs and loads that the events since the previous call make possible.
    fn advance(&mut self) {
        if !std::mem::take(&mut self.is_advanceable) {
            return;
        }
        let mut actions = Vec::new();
        self.scheduler.advance(clock::boot_now(), &mut actions);
        self.execute_all(actions);
    }

    fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Run {
                run,
                job,
                item,
                engine,
                permit,
                continues,
            } => self.start_run(run, job, item, engine, permit, continues),
            Action::Ask { engine, count } => self.ask_permits(engine, count),
            Action::Cancel(run) => {
                if let Some(active) = self.runs.remove(&run) {
                    active.abort.abort();
                    event!(
                        LogEvent::RunCancelled,
                        job = active.job,
                        run = run.0,
                        upstream = active.engine,
                        revision = active.revision,
                        lease_ms = active.lease_left.0
                    );
                }
            }
            Action::Move(run) => {
                if let Some(active) = self.runs.get(&run) {
                    active.moved.store(true, Ordering::Relaxed);
                }
            }
            Action::GiveUp { job, item } => {
                self.scoring.skip(&job, item);
                self.give_up(&job, item, "run_failed");
            }
            Action::Order {
                engine,
                model,
                version,
                keep,
            } => self.send_order(LoadOrder {
                engine,
                model,
                version,
                keep_running: keep,
            }),
        }
    }
}
