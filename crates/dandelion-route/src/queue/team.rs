//! One team at one owner: its queues, virtual token counters and limits.

use std::collections::BTreeMap;

use dandelion_protocol::config::Team;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::queue::admission::DEVIATIONS;
use crate::queue::event::Arrival;
use crate::ticket::PROMPT_PER_OUTPUT;
use crate::ticket::Work;

/// Scale of the virtual counters.
const SCALE: u64 = 10_000;

/// Time's worth of its token rate that a team may use at once.
const BURST: Millis = Millis::from_secs(10);

/// Weight of a new sample in the smoothed prediction ratio, as a divisor.
const SMOOTHING: u64 = 32;

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Position of a class in per-class arrays; interactive is first.
pub fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Rollout => 1,
    }
}

/// A request in a queue.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The request.
    pub arrival: Arrival,
    /// Work as corrected by the team's earlier requests.
    pub work: Work,
    /// Last moment at which a start can still meet the deadline.
    pub latest: Millis,
    /// When it arrived.
    pub since: Millis,
}

/// Tokens that a team may still use under its rate.
#[derive(Debug, Clone)]
struct Bucket {
    rate: u64,
    milli: i64,
    at: Millis,
}

impl Bucket {
    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.at).0 * self.rate * 1000 / MINUTE_MS;
        if gained == 0 {
            return;
        }
        let most = (self.rate * BURST.0 * 1000 / MINUTE_MS) as i64;
        self.milli = self.milli.saturating_add(gained as i64).min(most);
        self.at = now;
    }

    fn wait(&self) -> Millis {
        if self.milli > 0 {
            return Millis::ZERO;
        }
        let missing = self.milli.unsigned_abs() + 1;
        Millis((missing * MINUTE_MS).div_ceil(self.rate.max(1) * 1000))
    }
}

/// State of one team.
#[derive(Debug, Clone)]
pub struct TeamState {
    /// Relative share, at least 1.
    pub weight: u64,
    /// Requests at upstreams.
    pub inflight: u32,
    /// Queues by class, in order of arrival.
    pub queues: [BTreeMap<u64, Waiting>; 2],
    /// Cost waiting, by class.
    pub queued: [u64; 2],
    /// Virtual counters by class.
    pub counters: [u64; 2],
    /// Cost of finished work in all.
    pub served: u64,
    max_inflight: Option<u32>,
    bucket: Option<Bucket>,
    ratio: u64,
    deviation: u64,
}

impl Default for TeamState {
    fn default() -> Self {
        Self {
            weight: 1,
            inflight: 0,
            queues: [BTreeMap::new(), BTreeMap::new()],
            queued: [0; 2],
            counters: [0; 2],
            served: 0,
            max_inflight: None,
            bucket: None,
            ratio: 1000,
            deviation: 0,
        }
    }
}

impl TeamState {
    /// Takes over the team's limits; `share` is this owner's part of them in thousandths.
    pub fn set_limits(&mut self, now: Millis, team: &Team, share: u32) {
        let share = u64::from(share);
        self.weight = u64::from(team.weight.max(1));
        self.max_inflight = team
            .max_inflight
            .map(|max| (u64::from(max) * share).div_ceil(1000) as u32);
        let rate = team.token_rate.map(|rate| (rate * share).div_ceil(1000));
        let (milli, at) = match (&self.bucket, rate) {
            (Some(old), _) => (old.milli, old.at),
            (None, Some(rate)) => ((rate * BURST.0 * 1000 / MINUTE_MS) as i64, now),
            (None, None) => (0, now),
        };
        self.bucket = rate.map(|rate| Bucket { rate, milli, at });
    }

    /// Returns whether the team is under its own limits.
    pub fn is_allowed(&mut self, now: Millis) -> bool {
        if self.max_inflight.is_some_and(|max| self.inflight >= max) {
            return false;
        }
        self.rate_wait(now) == Millis::ZERO
    }

    /// Returns the time until the team's token rate lets it start a request.
    pub fn rate_wait(&mut self, now: Millis) -> Millis {
        let Some(bucket) = &mut self.bucket else {
            return Millis::ZERO;
        };
        bucket.refill(now);
        bucket.wait()
    }

    /// Corrects predicted work by how earlier predictions turned out.
    pub fn expect(&self, predicted: Work) -> Work {
        Work {
            prompt: predicted.prompt,
            output: predicted.output * self.ratio / 1000,
        }
    }

    /// Returns the work that a request may well come to, which its deadline must allow for.
    pub fn expect_most(&self, predicted: Work) -> Work {
        let ratio = self.ratio + DEVIATIONS * self.deviation;
        Work {
            prompt: predicted.prompt,
            output: predicted.output * ratio / 1000,
        }
    }

    /// Replaces what was charged for a request by `now`; generated tokens count against the rate.
    pub fn settle(&mut self, class: usize, before: Work, now: Work) {
        let charge =
            |work: Work| (work.prompt / PROMPT_PER_OUTPUT + work.output) * SCALE / self.weight;
        let counter = self.counters[class] + charge(now);
        self.counters[class] = counter.saturating_sub(charge(before));
        if let Some(bucket) = &mut self.bucket {
            let used = now.output as i64 - before.output as i64;
            bucket.milli = bucket.milli.saturating_sub(used.saturating_mul(1000));
        }
    }

    /// Learns from a finished request how far predictions are off.
    pub fn learn(&mut self, predicted: Work, actual: Work) {
        let seen = (actual.output * 1000 / predicted.output.max(1)).clamp(10, 4000);
        let off = self.ratio.abs_diff(seen);
        self.deviation = (self.deviation * (SMOOTHING - 1) + off) / SMOOTHING;
        self.ratio = (self.ratio * (SMOOTHING - 1) + seen) / SMOOTHING;
    }
}
