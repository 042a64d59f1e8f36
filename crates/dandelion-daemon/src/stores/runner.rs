//! Drives the scheduler while this daemon is in charge of the batch jobs.

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
use dandelion_batch::BatchTable;
use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::OrderOutcome;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::scheduler::Speed;
use dandelion_batch::table::BatchCommand;
use dandelion_batch::texts::digest;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::Listed;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextRef;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::future::Either;
use futures::future::join_all;
use futures::future::select;

use crate::control::View;
use crate::core::Handle;
use crate::stores::group::StoreEvent;
use crate::stores::orders;
use crate::stores::orders::Load;
use crate::stores::partials;
use crate::stores::run::Ended;
use crate::stores::run::ItemRun;
use crate::stores::run::Output;
use crate::stores::run::RunWatch;
use crate::stores::texts;

/// Longest time between two looks at the clock.
const TICK: Duration = Duration::from_millis(25);

/// Pause while another daemon is in charge.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Time between two messages that tell the control daemons who is in charge of the jobs.
const TELL_PERIOD: Millis = Millis(1_000);

/// Time for which a job is kept after this daemon first saw it.
const RETENTION: Millis = Millis(150_000);

/// Pause before a text that too few disks took is offered again.
const SPREAD_PAUSE: Duration = Duration::from_millis(50);

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

/// Tells the runner of a run's progress. A note that finds the queue full is left out: the next one
/// or the run's end says as much.
struct Watch {
    run: RunId,
    notes: Sender<Note>,
    moved: Arc<AtomicBool>,
    core: Handle,
    job: String,
    item: String,
}

impl RunWatch for Watch {
    fn began(&mut self) {
        let _full = self.notes.try_send(Note::Began(self.run));
    }

    fn progress(&mut self, speed: Speed) {
        let _full = self.notes.try_send(Note::Progress(self.run, speed));
    }

    fn checkpoint(&mut self, output: &Output) {
        let Some(last) = output.last else {
            return;
        };
        let partial = Partial {
            item: self.item.clone(),
            text: output.text.clone(),
            last,
            versions: output.versions.clone(),
        };
        partials::keep(&self.core, self.job.clone(), partial);
    }

    fn is_moved(&self) -> bool {
        self.moved.load(Ordering::Relaxed)
    }
}

/// One term in which this daemon is in charge.
struct Runner {
    core: Handle,
    term: Term,
    scheduler: Scheduler,
    open: BTreeMap<String, Open>,
    runs: BTreeMap<RunId, Under>,
    seen: BTreeMap<String, Millis>,
    /// Jobs that are to be taken over once the table can be read.
    put_off: Vec<String>,
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
            put_off: Vec::new(),
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
        for job in std::mem::take(&mut self.put_off) {
            self.adopt_job(&job, BTreeMap::new());
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

    /// Takes over every open job of the table.
    async fn adopt(&mut self) {
        let replica = self.core.stores.replica();
        let ids = replica.and_then(|r| {
            r.read::<BatchTable, _, _>(|table| {
                let open = table.jobs().iter().filter(|(_, stored)| !stored.ended);
                open.map(|(id, _)| id.clone()).collect::<Vec<_>>()
            })
        });
        let ids = ids.unwrap_or_default();
        let collected = ids.iter().map(|id| partials::collect(&self.core, id));
        let collected = join_all(collected).await;
        for (id, partials) in ids.iter().zip(collected) {
            self.adopt_job(id, partials);
        }
    }

    /// Takes over a job of the table, unless it is ended.
    fn adopt_job(&mut self, id: &str, mut partials: BTreeMap<String, Partial>) {
        if self.open.contains_key(id) {
            return;
        }
        let replica = self.core.stores.replica();
        let found = replica.and_then(|r| {
            r.look::<BatchTable, _, _>(|table| {
                let stored = table.jobs().get(id).filter(|stored| !stored.ended)?;
                let items = 0..stored.job.items.len();
                let open: Vec<bool> = items.map(|item| stored.is_open(item)).collect();
                Some((stored.job.clone(), open))
            })
        });
        let Some(found) = found else {
            // The disk of the replica is stalled.
            self.put_off.push(id.to_owned());
            return;
        };
        let Some((job, open)) = found else {
            return;
        };
        let job = Arc::new(job);
        let service = self.service_of(&job);
        let items = job.items.iter().enumerate();
        let partial = items.filter_map(|(at, item)| {
            let partial = partials.remove(&item.id).filter(|_| job.resumable)?;
            Some((at, Output::from_partial(partial)))
        });
        let partial: HashMap<usize, Output> = partial.collect();
        self.open.insert(
            id.to_owned(),
            Open {
                job: Arc::clone(&job),
                since: clock::boot_now(),
                partial,
            },
        );
        event!(
            LogEvent::JobOpened,
            job = id,
            items = job.items.len(),
            open = open.iter().filter(|open| **open).count(),
            wanted = job.wanted,
            min_version = job.min_version,
            term = self.term
        );
        self.handle(Event::Opened {
            job: &job,
            open,
            service,
        });
    }

    fn service_of(&self, job: &BatchJob) -> Option<ServiceId> {
        service_of(self.view.plan.as_deref()?, job)
    }

    /// Tells the scheduler what has changed in the replicated state of the cell.
    fn refresh(&mut self) {
        let view = self.core.control.view();
        if view.revision == self.view.revision {
            return;
        }
        let former = std::mem::replace(&mut self.view, view);
        let view = Arc::clone(&self.view);
        let planned = version_of(&former) != version_of(&view);
        if planned || !Arc::ptr_eq(&former.lives, &view.lives) {
            let engines = engines(&view);
            self.handle(Event::Engines(&engines));
        }
        if planned {
            let routed = self.open.iter();
            let routed: Vec<(String, Option<ServiceId>)> = routed
                .map(|(id, open)| (id.clone(), self.service_of(&open.job)))
                .collect();
            for (job, service) in routed {
                self.handle(Event::Routed { job: &job, service });
            }
        }
        for (model, version) in view.versions.iter() {
            let version = *version;
            self.handle(Event::Named { model, version });
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

    fn start(&mut self, run: RunId, job: String, item: usize, engine: UpstreamLife) {
        let Some(open) = self.open.get_mut(&job) else {
            return;
        };
        let item_run = ItemRun {
            job: Arc::clone(&open.job),
            item,
            engine,
            output: open.partial.remove(&item).unwrap_or_default(),
        };
        let (abort, registration) = AbortHandle::new_pair();
        let core = self.core.clone();
        let notes = self.notes.clone();
        let moved = Arc::new(AtomicBool::new(false));
        let watch = Watch {
            run,
            notes: notes.clone(),
            moved: Arc::clone(&moved),
            core: self.core.clone(),
            item: open.job.items[item].id.clone(),
            job: job.clone(),
        };
        let engine = item_run.engine.id.clone();
        let work = async move {
            let ended = item_run.run(&core, watch).await;
            // The runner of an earlier term is gone.
            let _gone = notes.send(Note::Ended(run, ended)).await;
        };
        task::spawn(Abortable::new(work, registration));
        let under = Under {
            job,
            item,
            engine,
            started: clock::boot_now(),
            abort,
            moved,
        };
        self.runs.insert(run, under);
    }

    fn end_run(&mut self, run: RunId, ended: Ended) {
        if let Some(under) = self.runs.remove(&run) {
            self.keep_output(&under, &ended, run);
        }
        self.handle(Event::RunEnded {
            run,
            outcome: ended.outcome,
        });
    }

    fn keep_output(&mut self, under: &Under, ended: &Ended, run: RunId) {
        let Some(open) = self.open.get_mut(&under.job) else {
            return;
        };
        let id = open.job.items[under.item].id.clone();
        if let RunOutcome::Finished { .. } = ended.outcome {
            let key = TextKey {
                job: under.job.clone(),
                item: id,
                digest: digest(&ended.output.text),
            };
            event!(
                LogEvent::RunFinished,
                job = under.job,
                item = key.item,
                run = run.0,
                upstream = under.engine,
                waited_ms = (under.started.0.saturating_sub(open.since.0)),
                ran_ms = (clock::boot_now().0.saturating_sub(under.started.0)),
                pause_ms = ended.pause.as_millis(),
                events = ended.output.last.unwrap_or(0)
            );
            self.finish(key, ended.output.clone());
            return;
        }
        event!(
            LogEvent::ItemRetried,
            job = under.job,
            item = id,
            run = run.0,
            upstream = under.engine,
            ran_ms = (clock::boot_now().0.saturating_sub(under.started.0)),
            pause_ms = ended.pause.as_millis(),
            reason = format!("{:?}", ended.outcome),
            events = ended.output.last.unwrap_or(0)
        );
        let goes_on = open.job.resumable && ended.output.last.is_some();
        if goes_on && !matches!(ended.outcome, RunOutcome::Stale(_)) {
            open.partial.insert(under.item, ended.output.clone());
        }
    }

    /// Keeps an output on enough disks and lists it then.
    fn finish(&self, key: TextKey, output: Output) {
        let core = self.core.clone();
        let term = self.term;
        let result = Listed {
            id: key.item.clone(),
            text: Some(TextRef {
                length: output.text.len() as u64,
                digest: key.digest,
            }),
            versions: output.versions,
        };
        let job = key.job.clone();
        let text = output.text;
        task::spawn(async move {
            let entry = TextEntry { key, text };
            while core.stores.charge(Millis::ZERO) == Some(term) {
                if texts::spread(&core, entry.clone()).await {
                    drop(entry);
                    list(&core, term, job, result).await;
                    return;
                }
                task::sleep(SPREAD_PAUSE).await;
            }
        });
    }

    fn give_up(&self, job: &str, item: usize) {
        let Some(open) = self.open.get(job) else {
            return;
        };
        let id = open.job.items[item].id.clone();
        event!(LogEvent::ItemGivenUp, job = job, item = id);
        let result = Listed {
            id,
            text: None,
            versions: Vec::new(),
        };
        let core = self.core.clone();
        let (term, job) = (self.term, job.to_owned());
        task::spawn(async move { list(&core, term, job, result).await });
    }

    fn order(&self, load: Load) {
        let core = self.core.clone();
        let notes = self.notes.clone();
        let term = self.term;
        task::spawn(async move {
            let outcome = orders::order(&core, term, &load).await;
            // The runner of an earlier term is gone.
            let _gone = notes.send(Note::Ordered(load, outcome)).await;
        });
    }

    /// Forgets jobs that were kept for long enough.
    fn expire(&mut self) {
        let now = clock::boot_now();
        let replica = self.core.stores.replica();
        let due: Vec<String> = replica
            .and_then(|r| {
                r.look::<BatchTable, _, _>(|table| {
                    let seen = &mut self.seen;
                    let ids = table.jobs().keys();
                    let old = ids.filter(|id| {
                        let first = seen.entry((*id).clone()).or_insert(now);
                        *first + RETENTION < now
                    });
                    old.cloned().collect()
                })
            })
            .unwrap_or_default();
        for job in due {
            self.seen.remove(&job);
            let core = self.core.clone();
            task::spawn(async move {
                if let Err(error) = core.stores.change(&BatchCommand::Forget { job }).await {
                    log::debug!("a batch job is not forgotten yet: {error}");
                }
            });
        }
    }
}

/// Lists a result; it is tried again until it is listed or another daemon is in charge.
async fn list(core: &Handle, term: Term, job: String, result: Listed) {
    let item = result.id.clone();
    let versions = format!("{:?}", result.versions);
    let command = BatchCommand::List { job, result };
    while core.stores.charge(Millis::ZERO) == Some(term) {
        if core.stores.change(&command).await.is_ok() {
            event!(LogEvent::ItemFinished, item = item, versions = versions);
            return;
        }
    }
}

fn version_of(view: &View) -> Option<u64> {
    view.plan.as_ref().map(|plan| plan.version)
}

/// Returns the service that takes most of a job's route.
fn service_of(plan: &RoutePlan, job: &BatchJob) -> Option<ServiceId> {
    let route = plan.route(&job.host, &job.path)?;
    let shares = route.shares.iter().filter(|s| s.weight > 0);
    shares.max_by_key(|s| s.weight).map(|s| s.service.clone())
}

/// Returns the engines with the tokens that each holds in memory.
fn engines(view: &View) -> Vec<(UpstreamLife, Option<u64>)> {
    let memory = |life: &UpstreamLife| {
        let service = view.plan.as_ref().and_then(|p| p.service(&life.service));
        service.and_then(|s| s.memory)
    };
    let lives = view.lives.iter();
    let engines = lives.filter_map(|life| Some((life.clone(), Some(memory(life)?))));
    engines.collect()
}
