//! Ejection of failing and slow upstreams, half-open probes and slow starts.

use dandelion_protocol::time::Millis;

use crate::balance::health::State;
use crate::balance::pool::EjectReason;
use crate::balance::pool::FADE_EVERY;
use crate::balance::pool::MAX_EJECTED_PERMILLE;
use crate::balance::pool::POOL_SAMPLES;
use crate::balance::pool::Pool;
use crate::balance::pool::SLOW_FACTOR;
use crate::balance::pool::SLOW_SAMPLES;
use crate::balance::pool::Verdict;
use crate::balance::pool::is_out;

impl Pool {
    pub(super) fn judge(
        &mut self,
        now: Millis,
        index: u32,
        verdict: Verdict,
    ) -> Option<EjectReason> {
        let mut failed = false;
        let mut probed = false;
        self.update(now, index, |slot| match verdict {
            Verdict::Clean(micros) => {
                slot.sample(micros);
                slot.adapt(now);
                probed = slot.health.succeed(now);
            }
            Verdict::Failed => {
                slot.limit.lower(now);
                failed = slot.health.fail();
            }
            Verdict::Congested => slot.limit.lower(now),
            Verdict::Neutral => {}
        });
        if probed {
            self.warming.insert(index);
        }
        let Verdict::Clean(micros) = verdict else {
            return failed.then_some(EjectReason::Failures);
        };
        self.latencies.record(micros);
        self.is_slow(index).then_some(EjectReason::Slow)
    }

    pub(super) fn is_slow(&self, index: u32) -> bool {
        let Some(slot) = self.slot(index) else {
            return false;
        };
        let (latency, samples) = slot.latency;
        let known = samples >= SLOW_SAMPLES && self.latencies.len() >= POOL_SAMPLES;
        known && self.median > 0 && latency > self.median * SLOW_FACTOR
    }

    pub(super) fn may_eject(&self, index: u32) -> bool {
        let Some(slot) = self.slot(index) else {
            return false;
        };
        let total = self.current.len();
        let cap = (total * MAX_EJECTED_PERMILLE / 1000).max(usize::from(total > 1));
        is_out(slot) || self.ejected < cap
    }

    pub(super) fn eject(&mut self, now: Millis, index: u32) {
        let mut until = now;
        self.update(now, index, |slot| {
            until = slot.health.eject(now);
            slot.latency = (0, 0);
        });
        self.warming.remove(&index);
        self.timers.insert((until, index));
    }

    /// Lets probes through that are due, moves slow starts on and fades the latencies.
    pub fn tick(&mut self, now: Millis) {
        while let Some((due, index)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, index));
            self.update(now, index, |slot| {
                if slot.health.state == (State::Ejected { until: due }) {
                    slot.health.half_open();
                }
            });
        }
        self.warm(now);
        if now.since(self.faded) >= FADE_EVERY {
            self.faded = now;
            self.latencies.fade();
        }
        self.median = self.latencies.quantile(500);
    }

    pub(super) fn warm(&mut self, now: Millis) {
        for index in self.warming.clone() {
            let mut over = true;
            self.update(now, index, |slot| {
                over = slot.health.end_warming(now);
                if over {
                    slot.health.forgive();
                }
            });
            if over {
                self.warming.remove(&index);
            }
        }
    }
}
