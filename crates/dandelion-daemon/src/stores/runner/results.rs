//! Takes the outcomes of runs and lists results.

use std::time::Duration;

use async_std::task;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::table::BatchCommand;
use dandelion_batch::texts::digest;
use dandelion_net::clock;
use dandelion_protocol::batch::Listed;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextRef;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::stores::run::Ended;
use crate::stores::run::Output;
use crate::stores::runner::Runner;
use crate::stores::runner::Under;
use crate::stores::texts;

/// Pause before a text that too few disks took is offered again.
const SPREAD_PAUSE: Duration = Duration::from_millis(50);

impl Runner {
    /// Takes the end of a run in.
    pub(super) fn end_run(&mut self, run: RunId, ended: Ended) {
        if let Some(under) = self.runs.remove(&run) {
            self.keep_output(&under, &ended, run);
        }
        self.handle(Event::RunEnded {
            run,
            outcome: ended.outcome,
        });
    }

    /// Keeps what a run made: a whole output is listed, a broken one is gone on from.
    pub(super) fn keep_output(&mut self, under: &Under, ended: &Ended, run: RunId) {
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
    pub(super) fn finish(&self, key: TextKey, output: Output) {
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

    /// Lists an item as given up.
    pub(super) fn give_up(&self, job: &str, item: usize) {
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
