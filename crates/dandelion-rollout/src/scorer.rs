//! Calls to the scoring service: limits, timeouts and retries.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;

/// Limits of the calls to a scoring service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScorerSettings {
    /// Maximum number of concurrent calls.
    pub max_inflight: usize,
    /// Time after which a call counts as failed.
    pub timeout: Millis,
    /// Maximum number of calls for one sample, the first included.
    pub max_calls: u32,
    /// Delay before the second call; doubled before each further one.
    pub backoff: Millis,
    /// Whether the service declares that a call may run twice; otherwise a call is retried only
    /// if it did not run.
    pub idempotent: bool,
}

impl Default for ScorerSettings {
    fn default() -> Self {
        Self {
            max_inflight: 64,
            timeout: Millis::from_secs(30),
            max_calls: 4,
            backoff: Millis(200),
            idempotent: false,
        }
    }
}

/// What to do after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call for the same sample is repeated after a delay.
    Retry,
    /// The sample is discarded: the call may have run, or no retry is left.
    Discard,
}

#[derive(Debug, Clone)]
struct RunningCall {
    /// Calls made for the sample, this one included.
    calls: u32,
    deadline: Millis,
}

/// Queue of samples to score, each named by the number of the attempt that finished it.
#[derive(Debug, Default)]
pub struct ScorerQueue {
    settings: ScorerSettings,
    /// Samples and the calls made for them so far.
    ready: VecDeque<(u64, u32)>,
    /// Samples to retry, by due time, and the calls made for them so far.
    delayed: BTreeMap<(Millis, u64), u32>,
    running: BTreeMap<u64, RunningCall>,
}

impl ScorerQueue {
    /// Opens an empty queue.
    pub fn open(settings: ScorerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the limits; running calls keep their deadline.
    pub fn configure(&mut self, settings: ScorerSettings) {
        self.settings = settings;
    }

    /// Adds a sample.
    pub fn push(&mut self, sample: u64) {
        self.ready.push_back((sample, 0));
    }

    /// Starts the next call and returns its sample; none if nothing is due or at the limit.
    pub fn next(&mut self, now: Millis) -> Option<u64> {
        if self.running.len() >= self.settings.max_inflight {
            return None;
        }
        let (sample, calls) = self.next_ready(now)?;
        let call = RunningCall {
            calls: calls + 1,
            deadline: now + self.settings.timeout,
        };
        self.running.insert(sample, call);
        Some(sample)
    }

    fn next_ready(&mut self, now: Millis) -> Option<(u64, u32)> {
        let due = self
            .delayed
            .first_key_value()
            .map(|(key, calls)| (*key, *calls));
        match due {
            Some((key, calls)) if key.0 <= now => {
                self.delayed.remove(&key);
                Some((key.1, calls))
            }
            _ => self.ready.pop_front(),
        }
    }

    /// Ends the call for `sample`; false if none is running, as after a timeout.
    pub fn finish(&mut self, sample: u64) -> bool {
        self.running.remove(&sample).is_some()
    }

    /// Ends the call for `sample` as failed; none if no call is running.
    pub fn fail(&mut self, now: Millis, sample: u64, ran: Ran) -> Option<RetryDecision> {
        let call = self.running.remove(&sample)?;
        let repeatable = self.settings.idempotent || ran == Ran::NotRun;
        if !repeatable || call.calls >= self.settings.max_calls {
            return Some(RetryDecision::Discard);
        }
        let wait = Millis(self.settings.backoff.0 << (call.calls - 1).min(16));
        self.delayed.insert((now + wait, sample), call.calls);
        Some(RetryDecision::Retry)
    }

    /// Returns the samples whose calls are past their deadline.
    pub fn overdue(&self, now: Millis) -> Vec<u64> {
        let overdue_calls = self.running.iter().filter(|(_, call)| call.deadline <= now);
        overdue_calls.map(|(sample, _)| *sample).collect()
    }

    /// Removes a sample, whether it is queued, delayed or being scored.
    pub fn forget(&mut self, sample: u64) {
        self.running.remove(&sample);
        self.ready.retain(|(other, _)| *other != sample);
        self.delayed.retain(|(_, other), _| *other != sample);
    }
}
