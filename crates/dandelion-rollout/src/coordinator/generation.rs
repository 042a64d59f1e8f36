//! Attempts: progress, end and token accounting.

use std::sync::Arc;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::rollout::SampleId;
use dandelion_protocol::time::Millis;

use crate::attribution::Discard;
use crate::attribution::Prefix;
use crate::attribution::SegmentBuilder;
use crate::attribution::SegmentReport;
use crate::coordinator::action::Action;
use crate::coordinator::event::AttemptId;
use crate::coordinator::event::Failure;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::SlotId;
use crate::coordinator::settings::TICK;
use crate::payload::BlobId;
use crate::payload::Payload;
use crate::staleness::is_fresh;

/// Maximum number of engines that a sample avoids.
const MAX_AVOID: usize = 4;

/// A running generation request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub slot_id: SlotId,
    pub builder: SegmentBuilder,
    pub upstream: Option<UpstreamId>,
    pub started: Millis,
    pub last_progress: Millis,
    /// Tokens of the prefix that it continues.
    pub base: u32,
    pub hedge: bool,
    /// Set once its result no longer counts; the attempt stays until its tokens are known.
    pub cancelled: bool,
    /// Tokens reserved for it in the budget.
    reserved: u32,
    /// Its tokens that another attempt continues or that are in a sample.
    reused: u32,
}

impl Attempt {
    pub fn begin(
        slot_id: SlotId,
        id: AttemptId,
        resume: Prefix,
        reserved: u32,
        hedge: bool,
        now: Millis,
    ) -> Self {
        Self {
            slot_id,
            base: resume.tokens(),
            builder: SegmentBuilder::resume(resume, id.0),
            upstream: None,
            started: now,
            last_progress: now,
            hedge,
            cancelled: false,
            reserved,
            reused: 0,
        }
    }

    /// Returns the number of tokens reported for it.
    pub fn reported(&self) -> u32 {
        self.builder.prefix().tokens() - self.base
    }

    /// Records that another attempt continues the tokens reported so far.
    pub fn reuse_reported(&mut self) {
        self.reused = self.reported();
    }

    /// Returns whether any of its tokens is older than `lowest`.
    pub fn is_older_than(&self, lowest: WeightVersion) -> bool {
        let oldest = self.builder.prefix().oldest();
        oldest.is_some_and(|version| version < lowest)
    }
}

impl Coordinator {
    pub(super) fn on_progress(
        &mut self,
        now: Millis,
        id: AttemptId,
        upstream: UpstreamId,
        report: &SegmentReport,
        out: &mut Actions,
    ) {
        let newest = self.newest;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.cancelled {
            return;
        }
        if attempt.upstream.replace(upstream).is_none() {
            self.unconfirmed -= 1;
            self.window = self.window.saturating_mul(2);
        }
        attempt.last_progress = now;
        if let Err(reason) = attempt.builder.add(report, newest) {
            self.counts.discard(reason);
            if reason == Discard::OtherSoftware {
                self.cancel_and_restart(id, out);
            } else {
                self.cancel_and_resume(id, out);
            }
            return;
        }
        let lowest = crate::staleness::lowest_fresh(newest, self.job.max_staleness);
        let attempt = &self.attempts[&id];
        if attempt.is_older_than(lowest) {
            self.counts.stale += 1;
            self.cancel_and_restart(id, out);
        } else if attempt.hedge && attempt.reported() > 0 {
            self.cancel_others(id, out);
        }
    }

    /// Cancels an attempt and queues its slot, so that another one continues its attributed tokens,
    /// unless another attempt runs for it.
    pub(super) fn cancel_and_resume(&mut self, id: AttemptId, out: &mut Actions) {
        self.cancel(id, out);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let slot_id = attempt.slot_id;
        let prefix = attempt.builder.prefix().clone();
        let upstream = attempt.upstream.clone();
        if let Some(slot) = self.pool.slot(slot_id) {
            if slot.running.is_empty() && prefix.tokens() > slot.prefix.tokens() {
                attempt.reused = attempt.reported();
                slot.prefix = prefix;
            }
            avoid(&mut slot.avoid, upstream);
        }
        self.pool.requeue(slot_id);
    }

    /// Cancels an attempt whose tokens are too old; its slot starts over unless another attempt
    /// runs for it.
    pub(super) fn cancel_and_restart(&mut self, id: AttemptId, out: &mut Actions) {
        self.cancel(id, out);
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let slot_id = attempt.slot_id;
        let idle = self
            .pool
            .slot(slot_id)
            .is_some_and(|slot| slot.running.is_empty());
        if idle {
            self.counts.wasted += self.pool.reset(slot_id);
        }
    }

    pub(super) fn cancel(&mut self, id: AttemptId, out: &mut Actions) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        let slot_id = attempt.slot_id;
        out.push(Action::CancelAttempt(id));
        if let Some(slot) = self.pool.slot(slot_id) {
            slot.running.retain(|other| *other != id);
        }
    }

    /// Cancels the other attempts for a sample: the first to report tokens or to end wins.
    fn cancel_others(&mut self, id: AttemptId, out: &mut Actions) {
        let slot_id = self.attempts[&id].slot_id;
        let others: Vec<AttemptId> = match self.pool.slot(slot_id) {
            Some(slot) => slot
                .running
                .iter()
                .copied()
                .filter(|other| *other != id)
                .collect(),
            None => return,
        };
        for other in others {
            self.cancel(other, out);
        }
    }

    pub(super) fn on_done(&mut self, now: Millis, id: AttemptId, out: &mut Actions) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.cancelled {
            self.charge_attempt(id, None);
            return;
        }
        self.cancel_others(id, out);
        let attempt = &self.attempts[&id];
        let slot_id = attempt.slot_id;
        self.rates.record(rate(attempt, now));
        if let Some(since) = self.pool.slot(slot_id).and_then(|slot| slot.since) {
            self.durations.record(now.since(since).0);
        }
        let prefix = self.attempts[&id].builder.prefix().clone();
        let tokens = prefix.tokens() - self.attempts[&id].base;
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.reused = tokens;
        }
        self.charge_attempt(id, Some(tokens));
        if let Some(slot) = self.pool.slot(slot_id) {
            slot.running.clear();
        }
        self.finish(slot_id, id, prefix, out);
    }

    fn finish(&mut self, slot_id: SlotId, id: AttemptId, prefix: Prefix, out: &mut Actions) {
        let oldest = prefix.oldest().unwrap_or(self.newest);
        if prefix.segments.is_empty() || !is_fresh(oldest, self.newest, self.job.max_staleness) {
            self.counts.stale += 1;
            self.counts.wasted += u64::from(prefix.tokens());
            if let Some(slot) = self.pool.slot(slot_id) {
                slot.prefix = Prefix::default();
            }
            self.pool.requeue(slot_id);
            return;
        }
        let sample = Sample {
            id: self.sample_id(slot_id),
            text: prefix.text,
            segments: prefix.segments,
            attempts: prefix.attempts,
            score: None,
        };
        self.counts.finished += 1;
        let scored = self.job.scorer.is_some();
        if scored {
            self.scoring.insert(id.0, slot_id);
            self.scorer.push(id.0);
        }
        let complete_group = self.pool.set_sample(slot_id, sample, !scored);
        Self::replicate_group(complete_group, out);
    }

    /// Stores a group on a second daemon, so that the next coordinator need not generate it.
    pub(super) fn replicate_group(complete_group: Option<Arc<Group>>, out: &mut Actions) {
        if let Some(group) = complete_group {
            out.push(Action::Replicate {
                blob: BlobId::Group(group.group),
                payload: Payload::Group(group),
            });
        }
    }

    fn sample_id(&self, slot_id: SlotId) -> SampleId {
        SampleId {
            job: self.job.id.clone(),
            group: slot_id.0,
            index: slot_id.1,
        }
    }

    /// Charges the tokens of an attempt that has ended and removes it.
    fn charge_attempt(&mut self, id: AttemptId, tokens: Option<u32>) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if attempt.upstream.is_none() {
            self.unconfirmed -= 1;
        }
        let min_used = attempt.reported();
        let used = tokens
            .unwrap_or(attempt.reserved)
            .clamp(min_used, attempt.reserved.max(min_used));
        self.budget
            .end_reservation(u64::from(attempt.reserved), u64::from(used));
        let wasted = u64::from(used - attempt.reused);
        self.counts.tokens += u64::from(used);
        self.counts.wasted += wasted;
        if attempt.cancelled {
            self.counts.hedge_wasted += wasted;
        }
    }

    pub(super) fn on_failed(
        &mut self,
        now: Millis,
        id: AttemptId,
        failure: Failure,
        out: &mut Actions,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.cancelled {
            self.charge_attempt(id, failure.tokens);
            return;
        }
        let slot_id = attempt.slot_id;
        self.counts.failures += 1;
        self.cancel_and_resume(id, out);
        // The attempt has already ended, so there is nothing to cancel.
        out.retain(|action| *action != Action::CancelAttempt(id));
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cancelled = false;
        }
        self.charge_attempt(id, failure.tokens);
        if failure.ran == Ran::NotRun {
            self.hold_until = now + TICK;
            self.window = ((self.unconfirmed + 1).min(self.window) / 2).max(1);
            return;
        }
        self.count_failure(slot_id, out);
    }

    fn count_failure(&mut self, slot_id: SlotId, out: &mut Actions) {
        let limit = self.settings.max_attempts;
        let Some(slot) = self.pool.slot(slot_id) else {
            return;
        };
        slot.failed_attempts += 1;
        if slot.failed_attempts < limit {
            return;
        }
        self.counts.dropped += 1;
        for other in self.pool.drop_group(slot_id.0) {
            self.cancel(other, out);
        }
    }
}

/// Returns the tokens per second of an attempt, at least 1.
pub(super) fn rate(attempt: &Attempt, now: Millis) -> u64 {
    let span = now.since(attempt.started).0.max(1);
    (u64::from(attempt.reported()) * 1000 / span).max(1)
}

/// Adds an engine to the list of those that a sample avoids; the oldest entry of a full list is
/// dropped.
pub(super) fn avoid(list: &mut Vec<UpstreamId>, upstream: Option<UpstreamId>) {
    let Some(upstream) = upstream.filter(|name| !list.contains(name)) else {
        return;
    };
    if list.len() >= MAX_AVOID {
        list.remove(0);
    }
    list.push(upstream);
}
