//! Batches: formed from whole groups, frozen by the ledger, handed out, taken back.

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
use crate::coordinator::event::Token;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pull::PendingCut;
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
        let held = self.payload.clone();
        if let Some(batch) = held.filter(|batch| batch.digest == record.digest) {
            self.hand_out(&batch, &record, out);
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
                self.hand_out(&batch, &record, out);
            }
            _ => self.void(&record, VoidReason::PayloadLost, out),
        }
    }

    /// Answers the pull with a frozen batch, unless it is too old by what is known now.
    fn hand_out(&mut self, batch: &Arc<Batch>, record: &BatchRecord, out: &mut Actions) {
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

    /// The trainer moved on: its last batch is acknowledged, or its groups come again.
    pub(super) fn settle_batch(&mut self, skipped: bool, out: &mut Actions) {
        let Some(record) = self.current.take() else {
            return;
        };
        out.push(Action::Release {
            blob: BlobId::Batch(record.cursor, record.digest),
            holders: record.holders.clone(),
        });
        let payload = self.payload.take();
        if skipped {
            self.take_back(&record, payload.as_deref(), out);
            return;
        }
        for groups in [&record.groups, &record.dropped] {
            self.done.extend(groups);
            self.pool.forget(groups);
        }
        self.trim_feeds(out);
    }

    fn take_back(&mut self, record: &BatchRecord, payload: Option<&Batch>, out: &mut Actions) {
        match payload {
            Some(batch) => self.pool.give_back(&batch.groups),
            None => self.pool.restart(&record.groups),
        }
        self.pool.restart(&record.dropped);
        self.drop_stale(out);
    }

    /// Forms a batch once enough groups are whole.
    pub(super) fn try_cut(&mut self, now: Millis, out: &mut Actions) {
        if !self.is_ready_to_cut() {
            return;
        }
        let wanted = self.job.step_groups as usize;
        let groups = self.pool.take_ready(wanted);
        let mut batch = Batch {
            cursor: self.next_cursor,
            next: self.next_cursor + 1,
            digest: 0,
            groups,
            dropped: self.pool.dropped(),
        };
        let Ok(digest) = batch_digest(&batch) else {
            self.pool.give_back(&batch.groups);
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

    /// Returns the batch that is formed and not frozen yet.
    pub(super) fn forming(&self) -> Option<&Batch> {
        if let Some(cut) = &self.cutting {
            return Some(&cut.batch);
        }
        match self.pull.as_ref().map(|pull| &pull.stage) {
            Some(Stage::Storing(batch, _)) => Some(batch),
            _ => None,
        }
    }

    fn is_ready_to_cut(&self) -> bool {
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
        let record = self.record(&batch, holders);
        if !is_fresh(record.oldest, self.newest, self.job.max_staleness) {
            self.reopen(&batch, out);
            return;
        }
        let cut = LedgerChange::Cut {
            epoch: self.epoch.unwrap_or(0),
            trainer,
            batch: record.clone(),
            bound: self.job.max_staleness,
            spent: self.budget.spent(),
        };
        let token = self.propose(now, cut, out);
        self.cutting = Some(PendingCut {
            token,
            batch,
            record,
        });
        self.set_stage(Stage::Cutting);
    }

    fn record(&mut self, batch: &Batch, holders: Vec<DaemonId>) -> BatchRecord {
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

    /// Takes the groups of a batch back that was not frozen.
    fn reopen(&mut self, batch: &Batch, out: &mut Actions) {
        self.pool.give_back(&batch.groups);
        self.drop_stale(out);
        if self.is_cutting() {
            self.set_stage(Stage::Open);
        }
    }

    fn is_cutting(&self) -> bool {
        let stage = self.pull.as_ref().map(|pull| &pull.stage);
        matches!(stage, Some(Stage::Cutting | Stage::Storing(..)))
    }

    pub(super) fn on_cut_answer(
        &mut self,
        now: Millis,
        token: Token,
        result: &Result<LedgerReply, LedgerRefusal>,
        out: &mut Actions,
    ) {
        let Some(cut) = self.cutting.take_if(|cut| cut.token == token) else {
            return;
        };
        match result {
            Ok(LedgerReply::Cut { published, .. }) => {
                self.on_recorded(now, *published, out);
                self.freeze(&cut.batch, &cut.record, *published);
                self.record_wait(now);
                if self.is_cutting() {
                    self.hand_out(&cut.batch, &cut.record, out);
                }
            }
            Ok(_) => {}
            Err(LedgerRefusal::Stale { published, .. }) => {
                self.on_recorded(now, *published, out);
                self.reopen(&cut.batch, out);
            }
            Err(_) => {
                self.reopen(&cut.batch, out);
                self.set_stage(Stage::Parked);
            }
        }
        self.unpark(now, out);
    }

    fn record_wait(&mut self, now: Millis) {
        if let Some(pull) = &self.pull {
            let waited = now.since(pull.since);
            self.lead.record(waited, self.job.max_staleness);
        }
    }

    fn freeze(&mut self, batch: &Arc<Batch>, record: &BatchRecord, published: WeightVersion) {
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

    /// Generates anew whatever is older than the bound, and cancels what would become so.
    pub(super) fn drop_stale(&mut self, out: &mut Actions) {
        let lowest = lowest_fresh(self.newest, self.job.max_staleness);
        for place in self.pool.stale_places(lowest) {
            self.counts.stale += 1;
            self.forget_score(place);
            self.counts.wasted += self.pool.reset(place);
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
