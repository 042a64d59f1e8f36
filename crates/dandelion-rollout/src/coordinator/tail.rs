//! Stragglers: slow samples get a second attempt on another engine before the first is
//! cancelled.

use dandelion_protocol::time::Millis;

use crate::coordinator::event::AttemptId;
use crate::coordinator::generation::Attempt;
use crate::coordinator::generation::avoid;
use crate::coordinator::generation::rate;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::SlotId;

/// An attempt slower than this share of the median rate counts as slow, in thousandths.
const SLOW_PERMILLE: u64 = 500;

/// Quantile of observed rates that slow attempts are compared with, in thousandths.
const MEDIAN_PERMILLE: u32 = 500;

/// A group is in its tail when a single sample or at most this share of its samples, in
/// thousandths, is missing.
const TAIL_PERMILLE: usize = 250;

/// Attempts allowed above the capacity for stragglers, in thousandths of the capacity; one more is
/// always allowed.
const EXTRA_PERMILLE: usize = 50;

impl Coordinator {
    /// Starts a second attempt for stalled samples and for slow ones in a group's tail.
    pub(super) fn check_tail(&mut self, now: Millis, out: &mut Actions) {
        if !self.settings.hedge || !self.is_leading() || self.job.ended {
            return;
        }
        for (slot_id, id) in self.late_slots(now) {
            let limit = self.capacity + self.capacity * EXTRA_PERMILLE / 1000 + 1;
            if self.attempts.len() >= limit || !self.within_waste_limit() {
                return;
            }
            self.prepare_hedge(slot_id, id);
            if self.send(now, slot_id, true, out) {
                self.counts.hedges += 1;
            }
        }
    }

    fn late_slots(&self, now: Millis) -> Vec<(SlotId, AttemptId)> {
        let mut late = Vec::new();
        for (slot_id, state, slot) in self.pool.open_slots() {
            let [id] = slot.running[..] else {
                continue;
            };
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let tail = state.missing() * 1000 <= (state.slots.len() * TAIL_PERMILLE).max(1000);
            let since = slot.since.unwrap_or(now);
            if self.is_stalled(attempt, now) || (tail && self.is_slow(attempt, since, now)) {
                late.push((slot_id, id));
            }
        }
        late
    }

    fn is_stalled(&self, attempt: &Attempt, now: Millis) -> bool {
        now.since(attempt.last_progress) >= self.settings.stall_timeout
    }

    /// Returns whether a sample is past its deadline because its engine is slow. A long sample on
    /// an engine of normal speed gains nothing from a second attempt.
    fn is_slow(&self, attempt: &Attempt, since: Millis, now: Millis) -> bool {
        if self.durations.count() < self.settings.min_observed {
            return false;
        }
        let deadline = self.durations.quantile(self.settings.late_permille);
        let median = self.rates.quantile(MEDIAN_PERMILLE).unwrap_or(1);
        deadline.is_some_and(|deadline| now.since(since).0 > deadline)
            && rate(attempt, now) * 1000 < median * SLOW_PERMILLE
    }

    fn within_waste_limit(&self) -> bool {
        let allowed = self.counts.tokens * self.settings.waste_permille / 1000;
        self.counts.hedge_wasted <= allowed.max(u64::from(self.job.max_tokens))
    }

    /// Lets the second attempt continue the attributed tokens of the first.
    fn prepare_hedge(&mut self, slot_id: SlotId, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let prefix = attempt.builder.prefix().clone();
        let upstream = attempt.upstream.clone();
        attempt.reuse_reported();
        if let Some(slot) = self.pool.slot(slot_id) {
            slot.prefix = prefix;
            avoid(&mut slot.avoid, upstream);
        }
    }
}
