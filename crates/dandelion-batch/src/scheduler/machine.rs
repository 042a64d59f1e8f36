//! The scheduler's state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::event::Action;
use crate::scheduler::event::Event;
use crate::scheduler::event::RunId;
use crate::scheduler::event::RunOutcome;
use crate::scheduler::job::ItemState;
use crate::scheduler::job::Job;
use crate::scheduler::permits;
use crate::scheduler::placement;
use crate::scheduler::weight_loads;
use crate::scheduler::weight_loads::LoadLimit;
use crate::scheduler::weight_loads::LoadTime;
use crate::scheduler::weight_loads::Need;
use crate::scheduler::weight_loads::TargetVersion;

/// Delay before an item whose run was refused is sent again.
const REFUSED_DELAY: Millis = Millis(20);

/// Delay before an item whose run failed is sent again.
const FAILED_DELAY: Millis = Millis(100);

/// A run in progress.
#[derive(Debug, Clone)]
struct Run {
    job: String,
    item: usize,
    engine: UpstreamIncarnation,
    model: Option<String>,
    tokens: u64,
}

/// Schedules items on engines and orders engines to load versions.
#[derive(Debug, Default)]
pub struct Scheduler {
    jobs: BTreeMap<String, Job>,
    engines: BTreeMap<UpstreamId, Engine>,
    targets: BTreeMap<String, TargetVersion>,
    runs: BTreeMap<RunId, Run>,
    /// Number of items of the largest step of each model.
    step_sizes: BTreeMap<String, usize>,
    load_time: LoadTime,
    load_limit: LoadLimit,
    last_run: u64,
}

impl Scheduler {
    /// Returns the open jobs by id.
    pub fn jobs(&self) -> &BTreeMap<String, Job> {
        &self.jobs
    }

    /// Returns the known engines by id.
    pub fn engines(&self) -> &BTreeMap<UpstreamId, Engine> {
        &self.engines
    }

    /// Returns the number of runs in progress.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Handles an event at `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.record(now, event, actions) {
            self.advance(now, actions);
        }
    }

    /// Handles an event like [`Self::handle`], but starts no runs or loads. Returns whether
    /// [`Self::advance`] may start some now. It looks at all engines and items, so it is called once
    /// for all events that have arrived: with thousands of engines their reports alone would
    /// otherwise take a core.
    pub fn record(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) -> bool {
        match event {
            Event::Opened {
                job,
                open,
                service,
                kept,
            } => {
                if !self.jobs.contains_key(&job.id) {
                    let mut opened = Job::open(now, job, &open, service);
                    for (item, output) in kept {
                        if let Some(item) = opened.items.get_mut(item) {
                            item.keep(now, output);
                        }
                    }
                    if let Some(model) = opened.model() {
                        let size = self.step_sizes.entry(model.to_owned()).or_insert(0);
                        *size = (*size).max(opened.items.len());
                    }
                    self.jobs.insert(job.id.clone(), opened);
                }
            }
            Event::Repeated { job, items } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.repeat_groups(items);
                }
            }
            Event::Kept { job, item, output } => {
                let job = self.jobs.get_mut(job);
                if let Some(item) = job.and_then(|job| job.items.get_mut(item)) {
                    item.keep(now, output);
                }
                // The end of the run, which follows, places the item again.
                return false;
            }
            Event::Routed { job, service } => self.set_service(job, service),
            Event::Ended(job) => self.end_job(job, actions),
            Event::Engines { engines, limited } => {
                self.update_engines(now, engines, limited, actions);
            }
            Event::Reported(report) => self.update_versions(report),
            Event::Permitted {
                engine,
                permits,
                wait,
            } => {
                let engine = engine_of(&mut self.engines, engine);
                if let Some(allowance) = engine.and_then(Engine::allowance_mut) {
                    allowance.receive(now, permits, wait);
                }
            }
            Event::Named { model, version } => {
                let named = TargetVersion {
                    version,
                    since: now,
                };
                let target = self.targets.entry(model.to_owned()).or_insert(named);
                if target.version < version {
                    *target = named;
                }
            }
            Event::Began(run) => self.record_start(run),
            Event::Progress { run, speed } => {
                self.record_progress(now, run, speed.event_interval(), actions);
                // Progress frees no slot, so there is nothing new to schedule.
                return false;
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
                    let (time, limit) = (&mut self.load_time, &mut self.load_limit);
                    weight_loads::record_outcome(now, engine, load, outcome, time, limit);
                }
            }
            Event::Tick => (),
        }
        true
    }

    /// Starts the loads and runs that are possible now.
    pub fn advance(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for engine in self.engines.values_mut() {
            if engine.finish_load(now) {
                self.load_limit.record_end();
            }
        }
        let needs = self.needs();
        let (engines, limit) = (&mut self.engines, &mut self.load_limit);
        let loads = weight_loads::choose_loads(now, engines, &self.targets, &needs, limit);
        actions.extend(loads.into_iter().map(|load| Action::Order {
            keep: !needs.get(&load.model).is_some_and(|need| need.pure),
            engine: load.engine,
            model: load.model,
            version: load.version,
        }));
        self.place_items(now, actions);
        let asks = permits::choose_asks(now, &self.jobs, &mut self.engines);
        actions.extend(asks.into_iter().map(|ask| Action::Ask {
            engine: ask.engine,
            count: ask.count,
        }));
    }

    /// Returns what the jobs of each model require of the engines.
    fn needs(&self) -> BTreeMap<String, Need> {
        let sizes = self.step_sizes.iter();
        let mut needs: BTreeMap<String, Need> = sizes
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
                need.waiting |= job.has_waiting();
                need.pure |= job.pure;
                need.oldest = need.oldest.max(Some(job.min_version));
            }
        }
        needs
    }

    /// Starts runs of the items that are ready, in the order in which their jobs are due.
    fn place_items(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.engines.values().any(|e| e.accepts_runs(now)) {
            return;
        }
        let mut order: Vec<(Millis, String)> = self
            .jobs
            .iter()
            .map(|(id, job)| (job.due, id.clone()))
            .collect();
        order.sort();
        for (_, id) in order {
            let ready = self.jobs.get(&id).map(|job| job.ready_items(now));
            for item in ready.unwrap_or_default() {
                self.start_run(now, &id, item, actions);
            }
        }
    }

    fn start_run(&mut self, now: Millis, id: &str, index: usize, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let item = &job.items[index];
        let Some((chosen, continues)) = placement::choose_run(now, &self.engines, job, item) else {
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
        if !continues {
            job.items[index].kept = None;
        }
        let mut permit = None;
        if let Some(engine) = self.engines.get_mut(&life.id) {
            engine.add_run(model.as_deref(), tokens);
            permit = engine.allowance_mut().and_then(|a| a.take(now));
        }
        self.runs.insert(
            run,
            Run {
                job: id.to_owned(),
                item: index,
                engine: life.clone(),
                model,
                tokens,
            },
        );
        actions.push(Action::Run {
            run,
            job: id.to_owned(),
            item: index,
            engine: life,
            permit,
            continues,
        });
    }

    /// Records that a run received its first event: the engine works, and its version is at least
    /// the job's minimum.
    fn record_start(&mut self, run: RunId) {
        let Some(run) = self.runs.get(&run) else {
            return;
        };
        let Some(engine) = engine_of(&mut self.engines, &run.engine) else {
            return;
        };
        engine.record_success();
        if let (Some(model), Some(job)) = (&run.model, self.jobs.get(&run.job)) {
            let known = engine.versions.entry(model.clone()).or_insert(1);
            *known = (*known).max(job.min_version);
            let known = *known;
            engine.prove_load(model, known);
        }
    }

    /// Records the event interval of a run, and moves the run if it is slow.
    fn record_progress(
        &mut self,
        now: Millis,
        run: RunId,
        interval: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(active) = self.runs.get(&run) else {
            return;
        };
        if let Some(engine) = engine_of(&mut self.engines, &active.engine) {
            engine.record_interval(now, interval);
        }
        let Some(job) = self.jobs.get(&active.job) else {
            return;
        };
        let item = &job.items[active.item];
        let software = &active.engine.software;
        if placement::should_move(now, &self.engines, job, item, software, interval) {
            actions.push(Action::Move(run));
        }
    }

    fn set_service(&mut self, id: &str, service: Option<ServiceId>) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.service = service;
        }
    }

    fn end_job(&mut self, id: &str, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for item in &job.items {
            if let ItemState::Running(run) = item.state {
                self.remove_run(run);
                actions.push(Action::Cancel(run));
            }
        }
    }

    /// Removes a run from the counts of its engine.
    fn remove_run(&mut self, run: RunId) -> Option<Run> {
        let ended = self.runs.remove(&run)?;
        if let Some(engine) = engine_of(&mut self.engines, &ended.engine) {
            engine.remove_run(ended.model.as_deref(), ended.tokens);
        }
        Some(ended)
    }

    /// Cancels a run and lets its item wait for another one. What the run still reports is ignored:
    /// its result may have been dropped.
    fn cancel_run(&mut self, now: Millis, run: RunId, actions: &mut Vec<Action>) {
        actions.push(Action::Cancel(run));
        let Some(ended) = self.remove_run(run) else {
            return;
        };
        let job = self.jobs.get_mut(&ended.job);
        let item = job.and_then(|job| job.items.get_mut(ended.item));
        if let Some(item) = item.filter(|item| item.state == ItemState::Running(run)) {
            item.avoid = Some(ended.engine.id);
            item.state = ItemState::Waiting(now);
            item.kept = None;
        }
    }

    /// Replaces the known engines. The state of an engine survives as long as its incarnation; runs
    /// on incarnations that are gone are cancelled.
    fn update_engines(
        &mut self,
        now: Millis,
        lives: &[(UpstreamIncarnation, Option<u64>)],
        limited: &BTreeSet<UpstreamId>,
        actions: &mut Vec<Action>,
    ) {
        let mut previous = std::mem::take(&mut self.engines);
        for (life, memory) in lives {
            let memory = memory.unwrap_or(0);
            let same = previous
                .remove(&life.id)
                .filter(|e| e.life.born == life.born);
            let mut engine = same.unwrap_or_else(|| Engine::open(life.clone(), memory));
            engine.life = life.clone();
            engine.memory = memory;
            engine.set_limited(limited.contains(&life.id));
            self.engines.insert(life.id.clone(), engine);
        }
        let is_lost = |run: &Run| find_engine(&self.engines, &run.engine).is_none();
        let lost = self.runs.iter().filter(|(_, run)| is_lost(run));
        let lost: Vec<RunId> = lost.map(|(id, _)| *id).collect();
        for run in lost {
            self.cancel_run(now, run, actions);
        }
    }

    fn update_versions(&mut self, report: &IncarnationReport) {
        let Some(engine) = self.engines.get_mut(&report.life.id) else {
            return;
        };
        if engine.life.born != report.life.born || report.sequence < engine.reported {
            return;
        }
        engine.reported = report.sequence;
        for (model, version) in &report.versions {
            let loaded = engine
                .loading
                .as_ref()
                .is_some_and(|l| l.model == *model && *version >= l.version);
            if loaded {
                engine.loading = None;
            }
            engine.prove_load(model, *version);
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
        let Some(ended) = self.remove_run(run) else {
            return;
        };
        self.apply_outcome(now, &ended, outcome);
        let Some(job) = self.jobs.get_mut(&ended.job) else {
            return;
        };
        let attempts = job.attempts;
        let item = &mut job.items[ended.item];
        if item.state != ItemState::Running(run) {
            return;
        }
        item.avoid = Some(ended.engine.id.clone());
        if matches!(outcome, RunOutcome::Stale(_)) {
            item.kept = None;
        }
        item.state = match outcome {
            RunOutcome::Finished { .. } | RunOutcome::Impossible => ItemState::Done,
            RunOutcome::Failed => {
                item.failures += 1;
                ItemState::Waiting(now + FAILED_DELAY)
            }
            RunOutcome::Refused | RunOutcome::Mistaken | RunOutcome::Withheld => {
                ItemState::Waiting(now + REFUSED_DELAY)
            }
            RunOutcome::Stale(_) | RunOutcome::Moved | RunOutcome::Broken { .. } => {
                ItemState::Waiting(now)
            }
        };
        let exhausted = *outcome == RunOutcome::Failed && item.failures >= attempts;
        if exhausted || *outcome == RunOutcome::Impossible {
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

    /// Updates the state of an engine from the outcome of a run.
    fn apply_outcome(&mut self, now: Millis, ended: &Run, outcome: &RunOutcome) {
        let model = ended.model.clone();
        let Some(engine) = engine_of(&mut self.engines, &ended.engine) else {
            return;
        };
        match outcome {
            RunOutcome::Finished { version, speed } => {
                engine.record_success();
                if let (Some(model), Some(version)) = (&model, version) {
                    engine.versions.insert(model.clone(), *version);
                }
                if let Some(speed) = speed.filter(|s| s.events > 0) {
                    engine.record_interval(now, speed.event_interval());
                }
            }
            RunOutcome::Stale(version) => {
                if let Some(model) = &model {
                    engine.versions.insert(model.clone(), *version);
                }
            }
            RunOutcome::Refused => {
                if engine.mark_late(now) {
                    self.load_limit.record_late();
                }
                let elapsed = model.and_then(|model| engine.extend_load(now, &model));
                match elapsed {
                    Some(elapsed) => self.load_time.raise(elapsed),
                    None => engine.record_refusal(now),
                }
            }
            RunOutcome::Mistaken => engine.record_refusal(now),
            RunOutcome::Broken { .. } => engine.record_failure(now),
            RunOutcome::Failed
            | RunOutcome::Impossible
            | RunOutcome::Moved
            | RunOutcome::Withheld => (),
        }
    }
}

/// Returns the state of an incarnation, or none if it is gone.
fn find_engine<'a>(
    engines: &'a BTreeMap<UpstreamId, Engine>,
    life: &UpstreamIncarnation,
) -> Option<&'a Engine> {
    let engine = engines.get(&life.id);
    engine.filter(|engine| engine.life.born == life.born)
}

/// Returns the state of an incarnation to be changed, or none if it is gone.
fn engine_of<'a>(
    engines: &'a mut BTreeMap<UpstreamId, Engine>,
    life: &UpstreamIncarnation,
) -> Option<&'a mut Engine> {
    let engine = engines.get_mut(&life.id);
    engine.filter(|engine| engine.life.born == life.born)
}
