//! One team at one owner: its queues, virtual counters for fair queueing, and limits.

use std::collections::BTreeMap;

use dandelion_protocol::config::Team;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::queue::admission::DEVIATIONS;
use crate::queue::event::Arrival;
use crate::ticket::PROMPT_PER_OUTPUT;
use crate::ticket::Work;

/// Units of the virtual counters per token at weight 1.
const SCALE: u64 = 10_000;

/// Largest burst that a token rate allows, as the time in which the rate yields its tokens.
const BURST: Millis = Millis::from_secs(10);

/// Divisor of the smoothed prediction ratio: a new sample has the weight `1 / SMOOTHING`.
const SMOOTHING: u64 = 32;

const MINUTE_MS: u64 = 60_000;

/// Index of a class in per-class arrays; interactive is 0.
pub fn class_index(class: Class) -> usize {
    match class {
        Class::Interactive => 0,
        Class::Rollout => 1,
    }
}

/// A waiting request.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Request as it arrived.
    pub arrival: Arrival,
    /// Predicted work, corrected by the team's earlier requests.
    pub work: Work,
    /// Latest start that can still meet the deadline.
    pub latest_start: Millis,
    /// When it arrived.
    pub arrived_at: Millis,
}

/// Limits a team's generated tokens to its rate.
#[derive(Debug, Clone)]
struct TokenBucket {
    rate: u64,
    milli_tokens: i64,
    refilled_at: Millis,
}

impl TokenBucket {
    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).0 * self.rate * 1000 / MINUTE_MS;
        if gained == 0 {
            return;
        }
        let most = (self.rate * BURST.0 * 1000 / MINUTE_MS) as i64;
        self.milli_tokens = self.milli_tokens.saturating_add(gained as i64).min(most);
        self.refilled_at = now;
    }

    fn wait(&self) -> Millis {
        if self.milli_tokens > 0 {
            return Millis::ZERO;
        }
        let missing = self.milli_tokens.unsigned_abs() + 1;
        Millis((missing * MINUTE_MS).div_ceil(self.rate.max(1) * 1000))
    }
}

/// State of one team at one owner.
#[derive(Debug, Clone)]
pub struct TeamState {
    /// Share relative to the other teams, at least 1.
    pub weight: u64,
    /// Requests at upstreams.
    pub inflight: u32,
    /// Queues by class; each is keyed by sequence and so in order of arrival.
    pub queues: [BTreeMap<u64, Waiting>; 2],
    /// Sum of the cost of the waiting requests, by class.
    pub queued: [u64; 2],
    /// Virtual counters by class: weighted cost charged so far. The team with the least is next.
    pub counters: [u64; 2],
    /// Total cost of finished work.
    pub served: u64,
    max_inflight: Option<u32>,
    bucket: Option<TokenBucket>,
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
    /// Applies the team's weight and limits; `share` is this owner's share of the limits, in
    /// thousandths.
    pub fn set_limits(&mut self, now: Millis, team: &Team, share: u32) {
        let share = u64::from(share);
        self.weight = u64::from(team.weight.max(1));
        self.max_inflight = team
            .max_inflight
            .map(|max| (u64::from(max) * share).div_ceil(1000) as u32);
        let rate = team.token_rate.map(|rate| (rate * share).div_ceil(1000));
        let (milli_tokens, refilled_at) = match (&self.bucket, rate) {
            (Some(old), _) => (old.milli_tokens, old.refilled_at),
            (None, Some(rate)) => ((rate * BURST.0 * 1000 / MINUTE_MS) as i64, now),
            (None, None) => (0, now),
        };
        self.bucket = rate.map(|rate| TokenBucket {
            rate,
            milli_tokens,
            refilled_at,
        });
    }

    /// Returns whether the team is under its own limits.
    pub fn is_under_limits(&mut self, now: Millis) -> bool {
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

    /// Corrects predicted work by the mean error of earlier predictions.
    pub fn estimate(&self, predicted: Work) -> Work {
        Work {
            prompt: predicted.prompt,
            output: predicted.output * self.ratio / 1000,
        }
    }

    /// Returns an upper estimate of a request's work, which its deadline must allow for.
    pub fn upper_estimate(&self, predicted: Work) -> Work {
        let ratio = self.ratio + DEVIATIONS * self.deviation;
        Work {
            prompt: predicted.prompt,
            output: predicted.output * ratio / 1000,
        }
    }

    /// Replaces the work `before` that was charged for a request by `now`. Generated tokens count
    /// against the token rate.
    pub fn charge(&mut self, class: usize, before: Work, now: Work) {
        let charge =
            |work: Work| (work.prompt / PROMPT_PER_OUTPUT + work.output) * SCALE / self.weight;
        let counter = self.counters[class] + charge(now);
        self.counters[class] = counter.saturating_sub(charge(before));
        if let Some(bucket) = &mut self.bucket {
            let used = now.output as i64 - before.output as i64;
            bucket.milli_tokens = bucket
                .milli_tokens
                .saturating_sub(used.saturating_mul(1000));
        }
    }

    /// Updates the mean prediction error by a finished request.
    pub fn calibrate(&mut self, predicted: Work, actual: Work) {
        let sample = (actual.output * 1000 / predicted.output.max(1)).clamp(10, 4000);
        let error = self.ratio.abs_diff(sample);
        self.deviation = (self.deviation * (SMOOTHING - 1) + error) / SMOOTHING;
        self.ratio = (self.ratio * (SMOOTHING - 1) + sample) / SMOOTHING;
    }
}
