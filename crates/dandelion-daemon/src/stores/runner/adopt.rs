//! Adopts open jobs from the replicated table and removes jobs whose retention is over.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::scheduler::Event;
use dandelion_batch::table::BatchCommand;
use dandelion_net::clock;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event as LogEvent;
use dandelion_telemetry::event;
use futures::future::join_all;

use crate::stores::partials;
use crate::stores::run::Output;
use crate::stores::runner::OpenJob;
use crate::stores::runner::Runner;

/// Time for which a job is retained after this daemon first saw it in the table during its term.
const RETENTION: Millis = Millis(150_000);

impl Runner {
    /// Adopts every open job of the table.
    pub(super) async fn adopt_jobs(&mut self) {
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

    /// Adopts a job of the table, unless it has ended. The job is deferred while the table cannot
    /// be read.
    pub(super) fn adopt_job(&mut self, id: &str, mut partials: BTreeMap<String, Partial>) {
        if self.jobs.contains_key(id) {
            return;
        }
        let replica = self.core.stores.replica();
        let found = replica.and_then(|r| {
            r.try_read::<BatchTable, _, _>(|table| {
                let stored = table.jobs().get(id).filter(|stored| !stored.ended)?;
                let items = 0..stored.job.items.len();
                let open: Vec<bool> = items.map(|item| stored.is_open(item)).collect();
                let repeated = table.repeated_items(id);
                Some((
                    stored.job.clone(),
                    open,
                    stored.unscored().clone(),
                    repeated,
                ))
            })
        });
        let Some(found) = found else {
            // The disk of the replica is stalled.
            self.deferred.insert(id.to_owned(), partials);
            return;
        };
        let Some((job, mut open, unscored, repeated)) = found else {
            return;
        };
        // The outputs of these are complete.
        for item in unscored.keys() {
            open[*item] = false;
        }
        let job = Arc::new(job);
        let service = self.service_of(&job);
        let items = job.items.iter().enumerate();
        let outputs = items.filter_map(|(at, item)| {
            let partial = partials.remove(&item.id).filter(|_| job.resumable)?;
            Some((at, Output::from_partial(partial)))
        });
        let outputs: HashMap<usize, Output> = outputs.collect();
        let kept = outputs.iter().map(|(item, output)| (*item, output.kept()));
        let kept = kept.collect();
        self.jobs.insert(
            id.to_owned(),
            OpenJob {
                job: Arc::clone(&job),
                opened_at: clock::boot_now(),
                outputs,
                unscored: HashMap::new(),
            },
        );
        self.scoring.open_job(clock::boot_now(), &job, &open);
        event!(
            LogEvent::JobOpened,
            job = id,
            items = job.items.len(),
            open = open.iter().filter(|open| **open).count(),
            unscored = unscored.len(),
            wanted = job.wanted,
            min_version = job.min_version,
            repeated = repeated.len(),
            term = self.term
        );
        self.handle(Event::Opened {
            job: &job,
            open,
            service,
            kept,
        });
        if !repeated.is_empty() {
            let items = &repeated;
            self.handle(Event::Repeated { job: id, items });
        }
        for (item, result) in unscored {
            self.score_item(id, item, result);
        }
    }

    /// Removes jobs whose retention is over from the table.
    pub(super) fn expire(&mut self) {
        let now = clock::boot_now();
        let replica = self.core.stores.replica();
        let due: Vec<String> = replica
            .and_then(|r| {
                r.try_read::<BatchTable, _, _>(|table| {
                    let first_seen = &mut self.first_seen;
                    let ids = table.jobs().keys();
                    let old = ids.filter(|id| {
                        let first = first_seen.entry((*id).clone()).or_insert(now);
                        *first + RETENTION < now
                    });
                    old.cloned().collect()
                })
            })
            .unwrap_or_default();
        for job in due {
            self.first_seen.remove(&job);
            let core = self.core.clone();
            task::spawn(async move {
                if let Err(error) = core.stores.change(&BatchCommand::Forget { job }).await {
                    log::debug!("a batch job is not removed yet: {error}");
                }
            });
        }
    }
}
