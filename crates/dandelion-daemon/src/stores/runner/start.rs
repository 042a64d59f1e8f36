//! Starts the tasks that run items and send orders to engines.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_channel::Sender;
use async_std::task;
use dandelion_batch::scheduler::OrderOutcome;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::Speed;
use dandelion_net::clock;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::RatePermit;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::AbortHandle;
use futures::future::Abortable;

use crate::core::Handle;
use crate::stores::orders;
use crate::stores::orders::LoadOrder;
use crate::stores::partials;
use crate::stores::run::ItemRun;
use crate::stores::run::Output;
use crate::stores::run::RunEnd;
use crate::stores::run::RunObserver;
use crate::stores::runner::ActiveRun;
use crate::stores::runner::Runner;
use crate::stores::runner::TaskMessage;
use crate::stores::runner::guard::guarded;

/// Reports the progress of a run to the runner. A message that finds the queue full is dropped: the
/// next one or the end of the run conveys the same.
struct TaskObserver {
    run: RunId,
    messages: Sender<TaskMessage>,
    moved: Arc<AtomicBool>,
    core: Handle,
    job: String,
    item: String,
}

impl RunObserver for TaskObserver {
    fn first_event(&mut self) {
        let _full = self.messages.try_send(TaskMessage::Began(self.run));
    }

    fn progress(&mut self, speed: Speed) {
        let _full = self
            .messages
            .try_send(TaskMessage::Progress(self.run, speed));
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
            software: output.software.clone(),
        };
        partials::save(&self.core, self.job.clone(), partial);
    }

    fn should_move(&self) -> bool {
        self.moved.load(Ordering::Relaxed)
    }
}

impl Runner {
    /// Starts a run of an item, which continues the output of an interrupted run if `continues`.
    pub(super) fn start_run(
        &mut self,
        run: RunId,
        job: String,
        item: usize,
        engine: UpstreamIncarnation,
        permit: Option<RatePermit>,
        continues: bool,
    ) {
        let Some(open) = self.jobs.get_mut(&job) else {
            return;
        };
        let kept = open.outputs.remove(&item).unwrap_or_default();
        let events = kept.last;
        let former = kept.software.clone();
        let output = if continues { kept } else { Output::default() };
        let output = output.continued_at(&engine.software);
        if events.is_some() && output.last.is_none() {
            event!(
                Event::OutputDropped,
                job = job,
                item = open.job.items[item].id,
                events = events.unwrap_or(0),
                software = former,
                upstream = engine.id,
                upstream_software = engine.software
            );
        }
        let item_run = ItemRun {
            job: Arc::clone(&open.job),
            item,
            engine,
            permit,
            output,
        };
        let (abort, registration) = AbortHandle::new_pair();
        let core = self.core.clone();
        let messages = self.messages.clone();
        let moved = Arc::new(AtomicBool::new(false));
        let observer = TaskObserver {
            run,
            messages: messages.clone(),
            moved: Arc::clone(&moved),
            core: self.core.clone(),
            item: open.job.items[item].id.clone(),
            job: job.clone(),
        };
        let engine = item_run.engine.id.clone();
        let work = async move {
            let name = item_run.id().to_owned();
            let work = Box::pin(item_run.run(&core, observer));
            let ended = guarded("the run of an item", &name, work).await;
            let ended = ended.unwrap_or_else(RunEnd::failed);
            // The runner is gone if its term is over.
            let _gone = messages.send(TaskMessage::Ended(run, ended)).await;
        };
        task::spawn(Abortable::new(work, registration));
        let active = ActiveRun {
            job,
            item,
            engine,
            started: clock::boot_now(),
            revision: self.view.revision,
            lease_left: self.core.control.lease_left(),
            abort,
            moved,
        };
        self.runs.insert(run, active);
    }

    /// Orders an engine to load a version.
    pub(super) fn send_order(&self, load: LoadOrder) {
        let core = self.core.clone();
        let messages = self.messages.clone();
        let term = self.term;
        task::spawn(async move {
            let order = Box::pin(orders::send_order(&core, term, &load));
            let outcome = guarded("an order to an engine", load.engine.id.as_str(), order).await;
            let outcome = outcome.unwrap_or(OrderOutcome::Failed);
            // The runner is gone if its term is over.
            let _gone = messages.send(TaskMessage::Ordered(load, outcome)).await;
        });
    }
}
