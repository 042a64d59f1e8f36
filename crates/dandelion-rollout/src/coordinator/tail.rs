//! Stragglers: the slow tail is moved to another engine before the old one is let go.

use dandelion_protocol::time::Millis;

use crate::coordinator::event::AttemptId;
use crate::coordinator::generation::Attempt;
use crate::coordinator::generation::avoid;
use crate::coordinator::generation::rate;
use crate::coordinator::machine::Actions;
use crate::coordinator::machine::Coordinator;
use crate::coordinator::pool::Place;

/// An attempt slower than this share of the median rate is moved, in thousandths.
const SLOW_PERMILLE: u64 = 500;

/// Quantile of observed rates that counts as usual, in thousandths.
const USUAL_PERMILLE: u32 = 500;

/// A group has come to its tail when at most this share of it is missing, in thousandths.
const TAIL_PERMILLE: usize = 250;

/// Attempts beyond capacity that the tail may use, in thousandths of the capacity.
const EXTRA_PERMILLE: usize = 50;

impl Coordinator {
    /// Starts a second attempt for stalled samples and for slow ones in a group's tail.
    pub(super) fn check_tail(&mut self, now: Millis, out: &mut Actions) {
        if !self.settings.hedge || !self.is_leading() || self.job.ended {
            return;
        }
        for (place, id) in self.late_places(now) {
            let room = self.capacity + self.capacity * EXTRA_PERMILLE / 1000 + 1;
            if self.attempts.len() >= room || !self.may_waste() {
                return;
            }
            self.prepare_hedge(place, id);
            if self.send(now, place, true, out) {
                self.counts.hedges += 1;
            }
        }
    }

    fn late_places(&self, now: Millis) -> Vec<(Place, AttemptId)> {
        let mut late = Vec::new();
        for (place, state, slot) in self.pool.open_slots() {
            let [id] = slot.running[..] else {
                continue;
            };
            let Some(attempt) = self.attempts.get(&id) else {
                continue;
            };
            let tail = state.missing() * 1000 <= (state.slots.len() * TAIL_PERMILLE).max(1000);
            let since = slot.since.unwrap_or(now);
            if self.is_stalled(attempt, now) || (tail && self.is_slow(attempt, since, now)) {
                late.push((place, id));
            }
        }
        late
    }

    fn is_stalled(&self, attempt: &Attempt, now: Millis) -> bool {
        now.since(attempt.progress) >= self.settings.stall
    }

    /// Returns whether a sample is past its deadline because its engine is slow. A long answer
    /// on a usual engine gains nothing from a move.
    fn is_slow(&self, attempt: &Attempt, since: Millis, now: Millis) -> bool {
        if self.durations.count() < self.settings.min_observed {
            return false;
        }
        let deadline = self.durations.quantile(self.settings.late_permille);
        let usual = self.rates.quantile(USUAL_PERMILLE).unwrap_or(1);
        deadline.is_some_and(|deadline| now.since(since).0 > deadline)
            && rate(attempt, now) * 1000 < usual * SLOW_PERMILLE
    }

    fn may_waste(&self) -> bool {
        let allowed = self.counts.tokens * self.settings.waste_permille / 1000;
        self.counts.hedge_wasted <= allowed.max(u64::from(self.job.max_tokens))
    }

    /// Lets the second attempt continue what the first has attributed.
    fn prepare_hedge(&mut self, place: Place, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let prefix = attempt.builder.prefix().clone();
        let upstream = attempt.upstream.clone();
        attempt.keep_reported();
        if let Some(slot) = self.pool.slot(place) {
            slot.prefix = prefix;
            avoid(&mut slot.avoid, upstream);
        }
    }
}
