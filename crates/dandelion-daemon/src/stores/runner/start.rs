//! Starts runs and sends orders.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_channel::Sender;
use async_std::task;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::Speed;
use dandelion_net::clock;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::lives::UpstreamLife;
use futures::future::AbortHandle;
use futures::future::Abortable;

use crate::core::Handle;
use crate::stores::orders;
use crate::stores::orders::Load;
use crate::stores::partials;
use crate::stores::run::ItemRun;
use crate::stores::run::Output;
use crate::stores::run::RunWatch;
use crate::stores::runner::Note;
use crate::stores::runner::Runner;
use crate::stores::runner::Under;

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

impl Runner {
    /// Starts a run of an item, from where its last one broke off.
    pub(super) fn start(&mut self, run: RunId, job: String, item: usize, engine: UpstreamLife) {
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

    /// Orders an engine to load a version.
    pub(super) fn order(&self, load: Load) {
        let core = self.core.clone();
        let notes = self.notes.clone();
        let term = self.term;
        task::spawn(async move {
            let outcome = orders::order(&core, term, &load).await;
            // The runner of an earlier term is gone.
            let _gone = notes.send(Note::Ordered(load, outcome)).await;
        });
    }
}
