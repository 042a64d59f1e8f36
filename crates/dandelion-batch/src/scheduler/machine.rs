//! The scheduler's state machine.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::lives::UpstreamReport;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::event::Action;
use crate::scheduler::event::Event;
use crate::scheduler::event::RunId;
use crate::scheduler::event::RunOutcome;
use crate::scheduler::job::ItemState;
use crate::scheduler::job::Job;
use crate::scheduler::order;
use crate::scheduler::order::LoadTime;
use crate::scheduler::order::Named;
use crate::scheduler::order::Need;
use crate::scheduler::place;

/// Pause before an item that no engine ran is sent again.
const REFUSED_PAUSE: Millis = Millis(20);

/// Pause before an item that failed is sent again.
const FAILED_PAUSE: Millis = Millis(100);

/// A run under way.
#[derive(Debug, Clone)]
struct Run {
    job: String,
    item: usize,
    engine: UpstreamId,
    model: Option<String>,
    tokens: u64,
}

/// Places items and orders loads.
#[derive(Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<String, Job>,
    engines: BTreeMap<UpstreamId, Engine>,
    named: BTreeMap<String, Named>,
    runs: BTreeMap<RunId, Run>,
    /// Items of the largest step of each model.
    steps: BTreeMap<String, usize>,
    load_time: LoadTime,
    last_run: u64,
}

impl Scheduler {
    /// Borrows the open jobs.
    pub fn jobs(&self) -> &BTreeMap<String, Job> {
        &self.jobs
    }

    /// Borrows the engines.
    pub fn engines(&self) -> &BTreeMap<UpstreamId, Engine> {
        &self.engines
    }

    /// Returns the number of runs under way.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Opened { job, open, service } => {
                if !self.jobs.contains_key(&job.id) {
                    let opened = Job::open(now, job, &open, service);
                    if let Some(model) = opened.model() {
                        let step = self.steps.entry(model.to_owned()).or_insert(0);
                        *step = (*step).max(opened.items.len());
                    }
                    self.jobs.insert(job.id.clone(), opened);
                }
            }
            Event::Routed { job, service } => self.route(job, service),
            Event::Ended(job) => self.end(job, actions),
            Event::Engines(lives) => self.meet(lives, actions),
            Event::Reported(report) => self.report(report),
            Event::Named { model, version } => {
                let fresh = Named {
                    version,
                    since: now,
                };
                let known = self.named.entry(model.to_owned()).or_insert(fresh);
                if known.version < version {
                    *known = fresh;
                }
            }
            Event::Began(run) => self.begin_run(run),
            Event::Progress { run, speed } => {
                self.progress(now, run, speed.pace(), actions);
                // A pace frees no slot.
                return;
            }
            Event::RunEnded { run, outcome } => self.end_run(now, run, &outcome, actions),
            Event::OrderEnded {
                engine,
                model,
                version,
                outcome,
            } => {
                if let Some(engine) = self.engines.get_mut(engine) {
                    let load = (model, version);
                    order::settle(now, engine, load, outcome, &mut self.load_time);
                }
            }
            Event::Tick => (),
        }
        self.advance(now, actions);
    }

    fn advance(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for engine in self.engines.values_mut() {
            engine.finish_load(now);
        }
        let needs = self.needs();
        let loads = order::choose(now, &mut self.engines, &self.named, &needs);
        actions.extend(loads.into_iter().map(|load| Action::Order {
            keep: !needs.get(&load.model).is_some_and(|need| need.pure),
            engine: load.engine,
            model: load.model,
            version: load.version,
        }));
        self.place(now, actions);
    }

    /// Returns what the jobs of each model ask of the engines.
    fn needs(&self) -> BTreeMap<String, Need> {
        let steps = self.steps.iter();
        let mut needs: BTreeMap<String, Need> = steps
            .map(|(model, items)| {
                let need = Need {
                    items: *items,
                    ..Need::default()
                };
                (model.clone(), need)
            })
            .collect();
        for job in self.jobs.values() {
            if let Some(need) = job.model().and_then(|model| needs.get_mut(model)) {
                need.pressed |= job.is_waiting();
                need.pure |= job.pure;
                need.oldest = need.oldest.max(Some(job.min_version));
            }
        }
        needs
    }

    fn place(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.engines.values().any(|e| e.is_free(now)) {
            return;
        }
        let mut order: Vec<(Millis, String)> = self
            .jobs
            .iter()
            .map(|(id, job)| (job.due, id.clone()))
            .collect();
        order.sort();
        for (_, id) in order {
            let waiting = self.jobs.get(&id).map(|job| job.waiting(now));
            for item in waiting.unwrap_or_default() {
                self.start(now, &id, item, actions);
            }
        }
    }

    fn start(&mut self, now: Millis, id: &str, index: usize, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let item = &job.items[index];
        let Some(chosen) = place::choose(now, &self.engines, job, item) else {
            return;
        };
        let life = chosen.life.clone();
        self.last_run += 1;
        let run = RunId(self.last_run);
        let tokens = item.tokens;
        let model = item.model.clone();
        let group = item.group;
        job.groups[group].engine = Some(life.id.clone());
        job.items[index].state = ItemState::Running(run);
        if let Some(engine) = self.engines.get_mut(&life.id) {
            engine.start(model.as_deref(), tokens);
        }
        self.runs.insert(
            run,
            Run {
                job: id.to_owned(),
                item: index,
                engine: life.id.clone(),
                model,
                tokens,
            },
        );
        actions.push(Action::Run {
            run,
            job: id.to_owned(),
            item: index,
            engine: life,
        });
    }

    /// Notes that a run made its first event: the engine works, and its version is new enough.
    fn begin_run(&mut self, run: RunId) {
        let Some(run) = self.runs.get(&run) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&run.engine) else {
            return;
        };
        engine.succeed();
        if let (Some(model), Some(job)) = (&run.model, self.jobs.get(&run.job)) {
            let known = engine.versions.entry(model.clone()).or_insert(1);
            *known = (*known).max(job.min_version);
        }
    }

    /// Takes the pace of a run in, and moves the run if it is slow.
    fn progress(&mut self, now: Millis, run: RunId, pace: f64, actions: &mut Vec<Action>) {
        let Some(under) = self.runs.get(&run) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&under.engine) {
            engine.note_pace(now, pace);
        }
        let Some(job) = self.jobs.get(&under.job) else {
            return;
        };
        let item = &job.items[under.item];
        if place::is_slow(now, &self.engines, job, item, pace) {
            actions.push(Action::Move(run));
        }
    }

    fn route(&mut self, id: &str, service: Option<ServiceId>) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.service = service;
        }
    }

    fn end(&mut self, id: &str, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for item in &job.items {
            if let ItemState::Running(run) = item.state {
                actions.push(Action::Cancel(run));
            }
        }
    }

    /// Takes the engines that are known now; runs on a former life are broken off.
    fn meet(&mut self, lives: &[(UpstreamLife, Option<u64>)], actions: &mut Vec<Action>) {
        let mut former = std::mem::take(&mut self.engines);
        for (life, memory) in lives {
            let memory = memory.unwrap_or(0);
            let known = former.remove(&life.id).filter(|e| e.life.born == life.born);
            let mut engine = known.unwrap_or_else(|| Engine::open(life.clone(), memory));
            engine.life = life.clone();
            engine.memory = memory;
            self.engines.insert(life.id.clone(), engine);
        }
        let lost = |id: &UpstreamId| !lives.iter().any(|(life, _)| life.id == *id);
        for (run, started) in &self.runs {
            if lost(&started.engine) {
                actions.push(Action::Cancel(*run));
            }
        }
    }

    fn report(&mut self, report: &UpstreamReport) {
        let Some(engine) = self.engines.get_mut(&report.life.id) else {
            return;
        };
        if engine.life.born != report.life.born {
            return;
        }
        for (model, version) in &report.versions {
            let loaded = engine
                .loading
                .as_ref()
                .is_some_and(|l| l.model == *model && *version >= l.version);
            if loaded {
                engine.loading = None;
            }
            engine.versions.insert(model.clone(), *version);
        }
    }

    fn end_run(
        &mut self,
        now: Millis,
        run: RunId,
        outcome: &RunOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.runs.remove(&run) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&ended.engine) {
            engine.end(ended.model.as_deref(), ended.tokens);
        }
        self.note_engine(now, &ended, outcome);
        let Some(job) = self.jobs.get_mut(&ended.job) else {
            return;
        };
        let attempts = job.attempts;
        let item = &mut job.items[ended.item];
        if item.state != ItemState::Running(run) {
            return;
        }
        item.avoid = Some(ended.engine.clone());
        item.state = match outcome {
            RunOutcome::Finished { .. } | RunOutcome::Impossible => ItemState::Done,
            RunOutcome::Failed => {
                item.failures += 1;
                ItemState::Waiting(now + FAILED_PAUSE)
            }
            RunOutcome::Refused | RunOutcome::Mistaken => ItemState::Waiting(now + REFUSED_PAUSE),
            RunOutcome::Stale(_) | RunOutcome::Moved | RunOutcome::Broken { .. } => {
                ItemState::Waiting(now)
            }
        };
        let spent = *outcome == RunOutcome::Failed && item.failures >= attempts;
        if spent || *outcome == RunOutcome::Impossible {
            item.state = ItemState::Done;
            actions.push(Action::GiveUp {
                job: ended.job.clone(),
                item: ended.item,
            });
        }
        if job.is_done() {
            self.jobs.remove(&ended.job);
        }
    }

    fn note_engine(&mut self, now: Millis, ended: &Run, outcome: &RunOutcome) {
        let model = ended.model.clone();
        let Some(engine) = self.engines.get_mut(&ended.engine) else {
            return;
        };
        match outcome {
            RunOutcome::Finished { version, speed } => {
                engine.succeed();
                if let (Some(model), Some(version)) = (&model, version) {
                    engine.versions.insert(model.clone(), *version);
                }
                if let Some(speed) = speed.filter(|s| s.events > 0) {
                    engine.note_pace(now, speed.pace());
                }
            }
            RunOutcome::Stale(version) => {
                if let Some(model) = &model {
                    engine.versions.insert(model.clone(), *version);
                }
            }
            RunOutcome::Refused => {
                let taken = model.and_then(|model| engine.extend_load(now, &model));
                match taken {
                    Some(taken) => self.load_time.exceed(taken),
                    None => engine.refuse(now),
                }
            }
            RunOutcome::Mistaken => engine.refuse(now),
            RunOutcome::Broken { .. } => engine.fail(now),
            RunOutcome::Failed | RunOutcome::Impossible | RunOutcome::Moved => (),
        }
    }
}
