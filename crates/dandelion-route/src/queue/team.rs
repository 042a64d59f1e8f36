//! One team at one owner: its queues, virtual token counters and limits.

use std::collections::BTreeMap;

use dandelion_protocol::config::Team;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::queue::event::Arrival;

/// Scale of the virtual counters.
const SCALE: u64 = 10_000;

/// Time's worth of its token rate that a team may use at once.
const BURST: Millis = Millis::from_secs(10);

/// Weight of a new sample in the smoothed prediction ratio, as a divisor.
const SMOOTHING: u64 = 16;

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
    /// Cost as corrected by the team's earlier requests.
    pub cost: u64,
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
    /// Tokens used in all.
    pub served: u64,
    max_inflight: Option<u32>,
    bucket: Option<Bucket>,
    ratio: u64,
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

    /// Corrects a predicted cost by how earlier predictions turned out.
    pub fn expect(&self, predicted: u64) -> u64 {
        (predicted * self.ratio / 1000).max(1)
    }

    /// Adds to the counters what a request uses.
    pub fn charge(&mut self, class: usize, tokens: u64) {
        self.counters[class] += tokens * SCALE / self.weight;
        if let Some(bucket) = &mut self.bucket {
            bucket.milli = bucket.milli.saturating_sub_unsigned(tokens * 1000);
        }
    }

    /// Takes back what was charged and not used.
    pub fn refund(&mut self, class: usize, tokens: u64) {
        let back = tokens * SCALE / self.weight;
        self.counters[class] = self.counters[class].saturating_sub(back);
        if let Some(bucket) = &mut self.bucket {
            bucket.milli = bucket.milli.saturating_add_unsigned(tokens * 1000);
        }
    }

    /// Learns from a finished request how far predictions are off.
    pub fn learn(&mut self, predicted: u64, actual: u64) {
        let seen = (actual * 1000 / predicted.max(1)).clamp(10, 4000);
        self.ratio = (self.ratio * (SMOOTHING - 1) + seen) / SMOOTHING;
    }
}
