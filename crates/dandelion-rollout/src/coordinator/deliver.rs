//! Batches: formed from complete groups, frozen in the ledger, delivered or returned.

use std::sync::Arc;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::rollout::VoidBatch;
use dandelion_protocol::rollout::VoidReason;
use dandelion_protocol::time::Millis;

use crate::coordinator::action::Action;
use crate::coordinator::action::Answer;
use crate::coordinator::event::ProposalId;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pull::PendingFreeze;
use crate::coordinator::pull::PendingPull;
use crate::coordinator::pull::Stage;
use crate::ledger::BatchRecord;
use crate::ledger::LedgerChange;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;
use crate::payload::BlobId;
use crate::payload::Payload;
use crate::payload::batch_digest;
use crate::staleness::is_fresh;
use crate::staleness::lowest_fresh;

impl Coordinator {
    pub(super) fn redeliver(&mut self, record: BatchRecord, out: &mut Actions) {
        let cached = self.payload.clone();
        if let Some(batch) = cached.filter(|batch| batch.digest == record.digest) {
            self.deliver(&batch, &record, out);
            return;
        }
        out.push(Action::Fetch {
            blob: BlobId::Batch(record.cursor, record.digest),
            holders: record.holders.clone(),
        });
        self.set_stage(Stage::Fetching(record));
    }

    pub(super) fn on_fetched(&mut self, blob: BlobId, payload: Option<Payload>, out: &mut Actions) {
        match blob {
            BlobId::Group(_) => {}
            BlobId::Feed(first) => self.on_feed_fetched(first, payload),
            BlobId::Batch(cursor, digest) => {
                self.on_batch_fetched((cursor, digest), payload, out);
            }
        }
    }

    fn on_batch_fetched(&mut self, key: (u64, u64), payload: Option<Payload>, out: &mut Actions) {
        let Some(PendingPull {
            stage: Stage::Fetching(record),
            ..
        }) = &self.pull
        else {
            return;
        };
        if (record.cursor, record.digest) != key {
            return;
        }
        let record = record.clone();
        match payload {
            Some(Payload::Batch(batch)) if batch_digest(&batch) == Ok(record.digest) => {
                self.payload = Some(Arc::clone(&batch));
                self.deliver(&batch, &record, out);
            }
            _ => self.void(&record, VoidReason::PayloadLost, out),
        }
    }

    /// Answers the pull with a frozen batch, or with void if it is too old by now.
    fn deliver(&mut self, batch: &Arc<Batch>, record: &BatchRecord, out: &mut Actions) {
        if is_fresh(record.oldest, self.newest, self.job.max_staleness) {
            self.finish_pull(Answer::Batch(Arc::clone(batch)), out);
        } else {
            self.void(record, VoidReason::Stale, out);
        }
    }

    pub(super) fn void(&mut self, record: &BatchRecord, reason: VoidReason, out: &mut Actions) {
        self.counts.voids += 1;
        let answer = Answer::Void(VoidBatch {
            cursor: record.cursor,
            next: record.cursor + 1,
            reason,
            samples: record.samples,
        });
        self.finish_pull(answer, out);
    }

    /// Closes the current batch, as the trainer pulls the next cursor: its groups are acknowledged
    /// or, if skipped, delivered again.
    pub(super) fn close_batch(&mut self, skipped: bool, out: &mut Actions) {
        let Some(record) = self.current.take() else {
            return;
        };
        out.push(Action::Release {
            blob: BlobId::Batch(record.cursor, record.digest),
            holders: record.holders.clone(),
        });
        let payload = self.payload.take();
        if skipped {
            self.requeue_batch(&record, payload.as_deref(), out);
            return;
        }
        for groups in [&record.groups, &record.dropped] {
            self.done.extend(groups);
            self.pool.forget(groups);
        }
        self.trim_feeds(out);
    }

    fn requeue_batch(&mut self, record: &BatchRecord, payload: Option<&Batch>, out: &mut Actions) {
        match payload {
            Some(batch) => self.pool.return_groups(&batch.groups),
            None => self.pool.restart(&record.groups),
        }
        self.pool.restart(&record.dropped);
        self.drop_stale(out);
    }

    /// Forms a batch once enough groups are complete.
    pub(super) fn form_batch(&mut self, now: Millis, out: &mut Actions) {
        if !self.can_form_batch() {
            return;
        }
        let group_count = self.job.step_groups as usize;
        let groups = self.pool.pop_ready(group_count);
        let mut batch = Batch {
            cursor: self.next_cursor,
            next: self.next_cursor + 1,
            digest: 0,
            groups,
            dropped: self.pool.dropped(),
        };
        let Ok(digest) = batch_digest(&batch) else {
            self.pool.return_groups(&batch.groups);
            return;
        };
        batch.digest = digest;
        let batch = Arc::new(batch);
        out.push(Action::Replicate {
            blob: BlobId::Batch(batch.cursor, digest),
            payload: Payload::Batch(Arc::clone(&batch)),
        });
        self.set_stage(Stage::Storing(batch, now));
    }

    /// Returns the batch that is formed but not known to be frozen.
    pub(super) fn forming(&self) -> Option<&Batch> {
        if let Some(freeze) = &self.freezing {
            return Some(&freeze.batch);
        }
        match self.pull.as_ref().map(|pull| &pull.stage) {
            Some(Stage::Storing(batch, _)) => Some(batch),
            _ => None,
        }
    }

    fn can_form_batch(&self) -> bool {
        let open = self
            .pull
            .as_ref()
            .is_some_and(|pull| matches!(pull.stage, Stage::Open));
        if !open {
            return false;
        }
        let ready = self.pool.ready();
        let rest = ready > 0 || !self.pool.dropped().is_empty();
        ready >= self.job.step_groups as usize
            || (rest && self.pool.is_drained() && self.has_all_prompts())
    }

    pub(super) fn on_replicated(
        &mut self,
        now: Millis,
        blob: BlobId,
        holders: Vec<DaemonId>,
        out: &mut Actions,
    ) {
        match blob {
            BlobId::Group(_) => {}
            BlobId::Feed(first) => self.on_feed_stored(now, first, holders, out),
            BlobId::Batch(_, digest) => self.on_batch_stored(now, digest, holders, out),
        }
    }

    pub(super) fn on_batch_stored(
        &mut self,
        now: Millis,
        digest: u64,
        holders: Vec<DaemonId>,
        out: &mut Actions,
    ) {
        let Some(PendingPull {
            stage: Stage::Storing(batch, _),
            request,
            ..
        }) = &self.pull
        else {
            return;
        };
        if batch.digest != digest {
            return;
        }
        let (batch, trainer) = (Arc::clone(batch), request.trainer.clone());
        let record = self.batch_record(&batch, holders);
        if !is_fresh(record.oldest, self.newest, self.job.max_staleness) {
            self.reopen(&batch, out);
            return;
        }
        let freeze = LedgerChange::Freeze {
            epoch: self.epoch.unwrap_or(0),
            trainer,
            batch: record.clone(),
            bound: self.job.max_staleness,
            spent: self.budget.spent(),
        };
        let proposal = self.propose(now, freeze, out);
        self.freezing = Some(PendingFreeze {
            proposal,
            batch,
            record,
        });
        self.set_stage(Stage::Freezing);
    }

    fn batch_record(&mut self, batch: &Batch, holders: Vec<DaemonId>) -> BatchRecord {
        let holders = self.holders_or_self(holders);
        if holders.len() < 2 {
            self.counts.single_holder += 1;
        }
        let samples = || batch.groups.iter().flat_map(|group| &group.samples);
        BatchRecord {
            cursor: batch.cursor,
            groups: batch.groups.iter().map(|group| group.group).collect(),
            dropped: batch.dropped.iter().copied().collect(),
            samples: samples().count() as u32,
            digest: batch.digest,
            oldest: samples()
                .filter_map(Sample::oldest)
                .min()
                .unwrap_or(self.newest),
            holders,
        }
    }

    /// Returns the groups of a batch that was not frozen to the pool.
    fn reopen(&mut self, batch: &Batch, out: &mut Actions) {
        self.pool.return_groups(&batch.groups);
        self.drop_stale(out);
        if self.is_freezing() {
            self.set_stage(Stage::Open);
        }
    }

    fn is_freezing(&self) -> bool {
        let stage = self.pull.as_ref().map(|pull| &pull.stage);
        matches!(stage, Some(Stage::Freezing | Stage::Storing(..)))
    }

    pub(super) fn on_freeze_answer(
        &mut self,
        now: Millis,
        proposal: ProposalId,
        result: &Result<LedgerReply, LedgerRefusal>,
        out: &mut Actions,
    ) {
        let Some(freeze) = self.freezing.take_if(|freeze| freeze.proposal == proposal) else {
            return;
        };
        match result {
            Ok(LedgerReply::Frozen { published, .. }) => {
                self.on_recorded(now, *published, out);
                self.on_frozen(&freeze.batch, &freeze.record, *published);
                self.record_wait(now);
                if self.is_freezing() {
                    self.deliver(&freeze.batch, &freeze.record, out);
                }
            }
            Ok(_) => {}
            Err(LedgerRefusal::Stale { published, .. }) => {
                self.on_recorded(now, *published, out);
                self.reopen(&freeze.batch, out);
            }
            Err(_) => {
                self.reopen(&freeze.batch, out);
                self.set_stage(Stage::Queued);
            }
        }
        self.propose_pull(now, out);
    }

    fn record_wait(&mut self, now: Millis) {
        if let Some(pull) = &self.pull {
            let waited = now.since(pull.since);
            self.lookahead.record(waited, self.job.max_staleness);
        }
    }

    fn on_frozen(&mut self, batch: &Arc<Batch>, record: &BatchRecord, published: WeightVersion) {
        self.next_cursor = record.cursor + 1;
        self.current = Some(record.clone());
        self.payload = Some(Arc::clone(batch));
        self.since_publish += batch.groups.len() as u64;
        for sample in batch.groups.iter().flat_map(|group| &group.samples) {
            let oldest = sample.oldest().unwrap_or(published);
            self.counts.delivered += 1;
            self.counts.staleness += published.0.saturating_sub(oldest.0);
        }
    }

    /// Restarts the samples and cancels the attempts whose tokens exceed the staleness bound.
    pub(super) fn drop_stale(&mut self, out: &mut Actions) {
        let lowest = lowest_fresh(self.newest, self.job.max_staleness);
        for slot_id in self.pool.stale_slots(lowest) {
            self.counts.stale += 1;
            self.forget_score(slot_id);
            self.counts.wasted += self.pool.reset(slot_id);
        }
        let old: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| !attempt.cancelled && attempt.is_older_than(lowest))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.counts.stale += 1;
            self.cancel_and_restart(id, out);
        }
    }
}
