//! Handles the ends of runs and adds results to the replicated list of their job.

use std::time::Duration;

use async_std::task;
use dandelion_batch::scheduler::Event;
use dandelion_batch::scheduler::RunId;
use dandelion_batch::scheduler::RunOutcome;
use dandelion_batch::table::BatchCommand;
use dandelion_batch::texts::digest;
use dandelion_net::clock;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextRef;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::stores::run::Output;
use crate::stores::run::RunEnd;
use crate::stores::runner::ActiveRun;
use crate::stores::runner::Runner;
use crate::stores::runner::TaskMessage;
use crate::stores::runner::scoring::record_complete;
use crate::stores::texts;

/// Delay before a result body that too few disks stored is replicated again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Runner {
    /// Handles the end of a run: saves its output and notifies the scheduler. The end of a cancelled
    /// run is ignored.
    pub(super) fn end_run(&mut self, run: RunId, ended: RunEnd) {
        let Some(active) = self.runs.remove(&run) else {
            return;
        };
        self.save_output(&active, &ended, run);
        self.handle(Event::RunEnded {
            run,
            outcome: ended.outcome,
        });
    }

    /// Publishes a complete output, or saves a partial one so that the next run continues it.
    pub(super) fn save_output(&mut self, active: &ActiveRun, ended: &RunEnd, run: RunId) {
        let Some(open) = self.jobs.get_mut(&active.job) else {
            return;
        };
        let id = open.job.items[active.item].id.clone();
        if let RunOutcome::Finished { .. } = ended.outcome {
            let key = TextKey {
                job: active.job.clone(),
                item: id,
                digest: digest(&ended.output.text),
            };
            event!(
                LogEvent::RunFinished,
                job = active.job,
                item = key.item,
                run = run.0,
                upstream = active.engine,
                software = ended.output.software,
                revision = active.revision,
                lease_ms = active.lease_left.0,
                waited_ms = (active.started.0.saturating_sub(open.opened_at.0)),
                ran_ms = (clock::boot_now().0.saturating_sub(active.started.0)),
                pause_ms = ended.max_gap.as_millis(),
                events = ended.output.last.unwrap_or(0)
            );
            self.publish_result(active.item, key, ended.output.clone());
            return;
        }
        event!(
            LogEvent::ItemRetried,
            job = active.job,
            item = id,
            run = run.0,
            upstream = active.engine,
            software = ended.output.software,
            revision = active.revision,
            lease_ms = active.lease_left.0,
            ran_ms = (clock::boot_now().0.saturating_sub(active.started.0)),
            pause_ms = ended.max_gap.as_millis(),
            reason = format!("{:?}", ended.outcome),
            events = ended.output.last.unwrap_or(0)
        );
        let is_resumable = open.job.resumable && ended.output.last.is_some();
        if is_resumable && !matches!(ended.outcome, RunOutcome::Stale(_)) {
            let output = ended.output.kept();
            open.outputs.insert(active.item, ended.output.clone());
            let (job, item) = (active.job.as_str(), active.item);
            self.handle(Event::Kept { job, item, output });
        }
    }

    /// Replicates an output to enough disks, then lists it as the result of its item. An output that
    /// needs a score is recorded as complete instead, and then scored.
    pub(super) fn publish_result(&self, item: usize, key: TextKey, output: Output) {
        let core = self.core.clone();
        let term = self.term;
        let messages = self.messages.clone();
        let result = ListedResult {
            id: key.item.clone(),
            text: Some(TextRef {
                length: output.text.len() as u64,
                digest: key.digest,
            }),
            versions: output.versions,
            score: None,
        };
        let job = key.job.clone();
        let text = output.text;
        let open = self.jobs.get(&job);
        let is_scored = open.is_some_and(|open| open.job.items[item].scoring.is_some());
        task::spawn(async move {
            let entry = TextEntry { key, text };
            while core.stores.leader_term(Millis::ZERO) == Some(term) {
                if texts::replicate(&core, entry.clone()).await {
                    drop(entry);
                    if !is_scored {
                        list_result(&core, term, job, result).await;
                    } else if record_complete(&core, term, &job, &result).await {
                        let completed = TaskMessage::Completed(job, item, result);
                        // The runner is gone if its term is over.
                        let _gone = messages.send(completed).await;
                    }
                    return;
                }
                task::sleep(RETRY_DELAY).await;
            }
        });
    }

    /// Lists an item that was given up, without a result body.
    pub(super) fn give_up(&self, job: &str, item: usize, reason: &str) {
        let Some(open) = self.jobs.get(job) else {
            return;
        };
        let id = open.job.items[item].id.clone();
        event!(LogEvent::ItemGivenUp, job = job, item = id, reason = reason);
        let result = ListedResult {
            id,
            text: None,
            versions: Vec::new(),
            score: None,
        };
        let core = self.core.clone();
        let (term, job) = (self.term, job.to_owned());
        task::spawn(async move { list_result(&core, term, job, result).await });
    }
}

/// Lists a result; tries again until it is listed or this daemon no longer leads in `term`.
pub(super) async fn list_result(core: &Handle, term: Term, job: String, result: ListedResult) {
    let item = result.id.clone();
    let versions = format!("{:?}", result.versions);
    let command = BatchCommand::List {
        job: job.clone(),
        result,
    };
    while core.stores.leader_term(Millis::ZERO) == Some(term) {
        if core.stores.change(&command).await.is_ok() {
            core.stores.listings.wake(&job);
            event!(LogEvent::ItemFinished, item = item, versions = versions);
            return;
        }
    }
}
