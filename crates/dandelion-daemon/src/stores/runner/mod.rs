//! Drives the scheduler while this daemon is in charge of the batch jobs.

mod adopt;
mod results;
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
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
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
use crate::stores::orders::Load;
use crate::stores::run::Ended;
use crate::stores::run::Output;

/// Longest time between two looks at the clock.
const TICK: Duration = Duration::from_millis(25);

/// Pause while another daemon is in charge.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Time between two messages that tell the control daemons who is in charge of the jobs.
const TELL_PERIOD: Millis = Millis(1_000);

/// Notes that may wait for the runner.
const QUEUE: usize = 8_192;

/// What a task tells the runner.
enum Note {
    Began(RunId),
    Progress(RunId, Speed),
    Ended(RunId, Ended),
    Ordered(Load, OrderOutcome),
}

/// What is kept of an open job.
struct Open {
    job: Arc<BatchJob>,
    /// When this daemon took it up.
    since: Millis,
    /// Output of items that broke off, by place.
    partial: HashMap<usize, Output>,
}

/// A run under way.
struct Under {
    job: String,
    item: usize,
    engine: UpstreamId,
    started: Millis,
    abort: AbortHandle,
    moved: Arc<AtomicBool>,
}

/// One term in which this daemon is in charge.
struct Runner {
    core: Handle,
    term: Term,
    scheduler: Scheduler,
    open: BTreeMap<String, Open>,
    runs: BTreeMap<RunId, Under>,
    seen: BTreeMap<String, Millis>,
    /// Jobs that are to be taken over once the table can be read, with unfinished outputs by item.
    put_off: BTreeMap<String, BTreeMap<String, Partial>>,
    view: Arc<View>,
    notes: Sender<Note>,
    told: Millis,
}

/// Runs the jobs whenever this daemon is in charge, until the process ends.
pub async fn run_jobs(core: Handle) {
    loop {
        let term = core
            .stores
            .replica()
            .and_then(|r| r.in_charge(Millis::ZERO));
        let Some(term) = term.filter(|_| !core.is_stopping()) else {
            while core.stores.queue().try_recv().is_ok() {}
            task::sleep(IDLE_PAUSE).await;
            continue;
        };
        if !core.stores.begin(term).await {
            continue;
        }
        event!(LogEvent::JobsTaken, term = term);
        core.gateway
            .set_jobs_leader(Some(core.identity.daemon.clone()));
        let (notes, queue) = async_channel::bounded(QUEUE);
        Runner::open(core.clone(), term, notes).run(queue).await;
        event!(LogEvent::JobsLost, term = term);
    }
}

impl Runner {
    fn open(core: Handle, term: Term, notes: Sender<Note>) -> Self {
        Self {
            core,
            term,
            scheduler: Scheduler::default(),
            open: BTreeMap::new(),
            runs: BTreeMap::new(),
            seen: BTreeMap::new(),
            put_off: BTreeMap::new(),
            view: Arc::default(),
            notes,
            told: Millis::ZERO,
        }
    }

    async fn run(mut self, notes: Receiver<Note>) {
        self.refresh();
        self.adopt().await;
        while self.core.stores.charge(Millis::ZERO) == Some(self.term) && !self.core.is_stopping() {
            self.refresh();
            if self.is_due() {
                self.tell();
                self.expire();
            }
            self.wait(&notes).await;
        }
        for run in self.runs.values() {
            run.abort.abort();
        }
    }

    /// Waits for a note or an event, at most one tick, and handles what is there.
    async fn wait(&mut self, notes: &Receiver<Note>) {
        let events = self.core.stores.queue().clone();
        let (note, event) = (pin!(notes.recv()), pin!(events.recv()));
        let next = timeout(TICK, select(note, event)).await;
        match next {
            Ok(Either::Left((Ok(note), _))) => self.take_note(note),
            Ok(Either::Right((Ok(event), _))) => self.take_event(event),
            Ok(Either::Left((Err(_), _)) | Either::Right((Err(_), _))) | Err(_) => {
                self.handle(Event::Tick);
            }
        }
        for (job, partials) in std::mem::take(&mut self.put_off) {
            self.adopt_job(&job, partials);
        }
        while let Ok(note) = notes.try_recv() {
            self.take_note(note);
        }
        while let Ok(event) = events.try_recv() {
            self.take_event(event);
        }
    }

    fn take_event(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Submitted(job) => {
                self.adopt_job(&job, BTreeMap::new());
            }
            StoreEvent::Ended(job) => {
                if let Some(open) = self.open.get(&job) {
                    event!(
                        LogEvent::JobClosed,
                        job = job,
                        open_ms = (clock::boot_now().0.saturating_sub(open.since.0)),
                        term = self.term
                    );
                }
                self.handle(Event::Ended(&job));
                self.open.remove(&job);
                self.core.stores.partials.forget(&job);
            }
            StoreEvent::Reported(report) => self.handle(Event::Reported(&report)),
        }
    }

    fn take_note(&mut self, note: Note) {
        match note {
            Note::Began(run) => self.handle(Event::Began(run)),
            Note::Progress(run, speed) => self.handle(Event::Progress { run, speed }),
            Note::Ended(run, ended) => self.end_run(run, ended),
            Note::Ordered(load, outcome) => self.handle(Event::OrderEnded {
                engine: &load.engine.id,
                model: &load.model,
                version: load.version,
                outcome,
            }),
        }
    }

    /// Tells whether the periodic work is due.
    fn is_due(&mut self) -> bool {
        let now = clock::boot_now();
        let due = now >= self.told + TELL_PERIOD;
        if due {
            self.told = now;
        }
        due
    }

    /// Tells the control daemons who is in charge, so that they pass on what engines report.
    fn tell(&self) {
        let Some(mesh) = self.core.mesh() else {
            return;
        };
        let control = self.view.members.iter().filter(|m| m.role == Role::Control);
        for member in control {
            // The next one makes a lost one good.
            let _lost = mesh.send(&member.id, MeshMessage::JobsLeader(self.term));
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.scheduler
            .handle(clock::boot_now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Run {
                run,
                job,
                item,
                engine,
            } => self.start(run, job, item, engine),
            Action::Cancel(run) => {
                if let Some(under) = self.runs.remove(&run) {
                    under.abort.abort();
                    let ended = Ended {
                        outcome: RunOutcome::Broken { reached: false },
                        output: Output::default(),
                        pause: Duration::ZERO,
                    };
                    // The queue holds a note of every run that can be under way.
                    let _full = self.notes.try_send(Note::Ended(run, ended));
                }
            }
            Action::Move(run) => {
                if let Some(under) = self.runs.get(&run) {
                    under.moved.store(true, Ordering::Relaxed);
                }
            }
            Action::GiveUp { job, item } => self.give_up(&job, item),
            Action::Order {
                engine,
                model,
                version,
                keep,
            } => self.order(Load {
                engine,
                model,
                version,
                keep,
            }),
        }
    }
}
