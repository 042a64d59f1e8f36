//! Ejection of failing and slow upstreams, half-open probes and slow starts.

use dandelion_protocol::time::Millis;

use crate::balance::health::State;
use crate::balance::pool::DECAY_INTERVAL;
use crate::balance::pool::EjectReason;
use crate::balance::pool::HealthSignal;
use crate::balance::pool::MAX_EJECTED_PERMILLE;
use crate::balance::pool::POOL_SAMPLES;
use crate::balance::pool::Pool;
use crate::balance::pool::SLOW_FACTOR;
use crate::balance::pool::SLOW_SAMPLES;
use crate::balance::pool::is_unhealthy;

impl Pool {
    pub(super) fn apply_signal(
        &mut self,
        now: Millis,
        index: u32,
        signal: HealthSignal,
    ) -> Option<EjectReason> {
        let mut failed = false;
        let mut recovered = false;
        self.update(now, index, |slot| match signal {
            HealthSignal::Clean(micros) => {
                slot.record_latency(micros);
                slot.adapt_limit(now);
                recovered = slot.health.record_success(now);
            }
            HealthSignal::Failed => {
                slot.limit.lower(now);
                failed = slot.health.record_failure();
            }
            HealthSignal::Congested => slot.limit.lower(now),
            HealthSignal::Neutral => {}
        });
        if recovered {
            self.warming.insert(index);
        }
        let HealthSignal::Clean(micros) = signal else {
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
        is_unhealthy(slot) || self.unhealthy < cap
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

    /// Makes upstreams half-open whose ejection is over, updates slow starts and decays the latency
    /// histogram.
    pub fn tick(&mut self, now: Millis) {
        while let Some((due, index)) = self.timers.first().copied().filter(|(due, _)| *due <= now) {
            self.timers.remove(&(due, index));
            self.update(now, index, |slot| {
                if slot.health.state == (State::Ejected { until: due }) {
                    slot.health.half_open();
                }
            });
        }
        self.update_warming(now);
        if now.since(self.last_decay) >= DECAY_INTERVAL {
            self.last_decay = now;
            self.latencies.decay();
        }
        self.median = self.latencies.quantile(500);
    }

    pub(super) fn update_warming(&mut self, now: Millis) {
        for index in self.warming.clone() {
            let mut over = true;
            self.update(now, index, |slot| {
                over = slot.health.finish_warming(now);
                if over {
                    slot.health.reset_ejections();
                }
            });
            if over {
                self.warming.remove(&index);
            }
        }
    }
}
