//! Attempts: progress, ends, scoring.

use std::sync::Arc;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::rollout::SampleId;
use dandelion_protocol::time::Millis;

use crate::attribution::Prefix;
use crate::attribution::SegmentBuilder;
use crate::attribution::SegmentReport;
use crate::coordinator::action::Action;
use crate::coordinator::event::AttemptId;
use crate::coordinator::event::Failure;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::Place;
use crate::coordinator::settings::TICK;
use crate::payload::BlobId;
use crate::payload::Payload;
use crate::staleness::is_fresh;

/// Most engines that a sample stays away from.
const MAX_AVOID: usize = 4;

/// One generation request under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub place: Place,
    pub builder: SegmentBuilder,
    pub upstream: Option<UpstreamId>,
    pub started: Millis,
    pub progress: Millis,
    pub base: u32,
    pub hedge: bool,
    /// Set once its result no longer counts; it stays until its tokens are known.
    pub cancelled: bool,
    reserved: u32,
    /// Tokens of it that went on into another attempt or sample.
    kept: u32,
}

impl Attempt {
    pub fn begin(
        place: Place,
        id: AttemptId,
        resume: Prefix,
        reserved: u32,
        hedge: bool,
        now: Millis,
    ) -> Self {
        Self {
            place,
            base: resume.tokens(),
            builder: SegmentBuilder::resume(resume, id.0),
            upstream: None,
            started: now,
            progress: now,
            hedge,
            cancelled: false,
            reserved,
            kept: 0,
        }
    }

    /// Returns the tokens that it reported.
    pub fn reported(&self) -> u32 {
        self.builder.prefix().tokens() - self.base
    }

    /// Notes that what it reported so far goes on in another attempt.
    pub fn keep_reported(&mut self) {
        self.kept = self.reported();
    }

    /// Returns whether a token of it is older than `lowest`.
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
        attempt.progress = now;
        if let Err(reason) = attempt.builder.add(report, newest) {
            self.counts.discard(reason);
            self.retire(id, out);
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

    /// Ends an attempt whose attributed part goes on in another one.
    pub(super) fn retire(&mut self, id: AttemptId, out: &mut Actions) {
        self.cancel(id, out);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let place = attempt.place;
        let prefix = attempt.builder.prefix().clone();
        let upstream = attempt.upstream.clone();
        if let Some(slot) = self.pool.slot(place) {
            if slot.running.is_empty() && prefix.tokens() > slot.prefix.tokens() {
                attempt.kept = attempt.reported();
                slot.prefix = prefix;
            }
            avoid(&mut slot.avoid, upstream);
        }
        self.pool.requeue(place);
    }

    /// Ends an attempt whose tokens are too old.
    pub(super) fn cancel_and_restart(&mut self, id: AttemptId, out: &mut Actions) {
        self.cancel(id, out);
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let place = attempt.place;
        let idle = self
            .pool
            .slot(place)
            .is_some_and(|slot| slot.running.is_empty());
        if idle {
            self.counts.wasted += self.pool.reset(place);
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
        let place = attempt.place;
        out.push(Action::CancelAttempt(id));
        if let Some(slot) = self.pool.slot(place) {
            slot.running.retain(|other| *other != id);
        }
    }

    /// Cancels the other copies of a sample; the first to show progress or end has won.
    fn cancel_others(&mut self, id: AttemptId, out: &mut Actions) {
        let place = self.attempts[&id].place;
        let others: Vec<AttemptId> = match self.pool.slot(place) {
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
            self.settle_attempt(id, None);
            return;
        }
        self.cancel_others(id, out);
        let attempt = &self.attempts[&id];
        let place = attempt.place;
        self.rates.record(rate(attempt, now));
        if let Some(since) = self.pool.slot(place).and_then(|slot| slot.since) {
            self.durations.record(now.since(since).0);
        }
        let prefix = self.attempts[&id].builder.prefix().clone();
        let tokens = prefix.tokens() - self.attempts[&id].base;
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.kept = tokens;
        }
        self.settle_attempt(id, Some(tokens));
        if let Some(slot) = self.pool.slot(place) {
            slot.running.clear();
        }
        self.finish(place, id, prefix, out);
    }

    fn finish(&mut self, place: Place, id: AttemptId, prefix: Prefix, out: &mut Actions) {
        let oldest = prefix.oldest().unwrap_or(self.newest);
        if prefix.segments.is_empty() || !is_fresh(oldest, self.newest, self.job.max_staleness) {
            self.counts.stale += 1;
            self.counts.wasted += u64::from(prefix.tokens());
            if let Some(slot) = self.pool.slot(place) {
                slot.prefix = Prefix::default();
            }
            self.pool.requeue(place);
            return;
        }
        let sample = Sample {
            id: self.sample_id(place),
            text: prefix.text,
            segments: prefix.segments,
            attempts: prefix.attempts,
            score: None,
        };
        self.counts.finished += 1;
        let scored = self.job.scorer.is_some();
        if scored {
            self.scoring.insert(id.0, place);
            self.scorer.push(id.0);
        }
        let whole = self.pool.fill(place, sample, !scored);
        Self::keep_group(whole, out);
    }

    /// Keeps a group on a second daemon, so that a change of charge does not cost it.
    pub(super) fn keep_group(whole: Option<Arc<Group>>, out: &mut Actions) {
        if let Some(group) = whole {
            out.push(Action::Replicate {
                blob: BlobId::Group(group.group),
                payload: Payload::Group(group),
            });
        }
    }

    fn sample_id(&self, place: Place) -> SampleId {
        SampleId {
            job: self.job.id.clone(),
            group: place.0,
            index: place.1,
        }
    }

    /// Settles the tokens of an attempt that has ended and forgets it.
    fn settle_attempt(&mut self, id: AttemptId, tokens: Option<u32>) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if attempt.upstream.is_none() {
            self.unconfirmed -= 1;
        }
        let least = attempt.reported();
        let used = tokens
            .unwrap_or(attempt.reserved)
            .clamp(least, attempt.reserved.max(least));
        self.budget
            .settle(u64::from(attempt.reserved), u64::from(used));
        let wasted = u64::from(used - attempt.kept);
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
            self.settle_attempt(id, failure.tokens);
            return;
        }
        let place = attempt.place;
        self.counts.failures += 1;
        self.retire(id, out);
        // The attempt is over already; there is nothing to cancel.
        out.retain(|action| *action != Action::CancelAttempt(id));
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cancelled = false;
        }
        self.settle_attempt(id, failure.tokens);
        if failure.ran == Ran::NotRun {
            self.hold_until = now + TICK;
            self.window = ((self.unconfirmed + 1).min(self.window) / 2).max(1);
            return;
        }
        self.count_fail(place, out);
    }

    fn count_fail(&mut self, place: Place, out: &mut Actions) {
        let limit = self.settings.max_attempts;
        let Some(slot) = self.pool.slot(place) else {
            return;
        };
        slot.fails += 1;
        if slot.fails < limit {
            return;
        }
        self.counts.dropped += 1;
        for other in self.pool.give_up(place.0) {
            self.cancel(other, out);
        }
    }
}

/// Returns the tokens a second of an attempt, at least 1.
pub(super) fn rate(attempt: &Attempt, now: Millis) -> u64 {
    let span = now.since(attempt.started).0.max(1);
    (u64::from(attempt.reported()) * 1000 / span).max(1)
}

/// Adds an engine to those that a sample stays away from.
pub(super) fn avoid(list: &mut Vec<UpstreamId>, upstream: Option<UpstreamId>) {
    let Some(upstream) = upstream.filter(|name| !list.contains(name)) else {
        return;
    };
    if list.len() >= MAX_AVOID {
        list.remove(0);
    }
    list.push(upstream);
}
