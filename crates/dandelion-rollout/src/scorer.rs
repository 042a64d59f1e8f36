//! Calls of the scoring service: limits, timeouts and retries.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::outcome::Ran;
use dandelion_protocol::time::Millis;

/// Limits of the calls of a scoring service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScorerSettings {
    /// Calls at once.
    pub max_inflight: usize,
    /// Time that a call may take.
    pub timeout: Millis,
    /// Calls of one sample, the first included.
    pub max_calls: u32,
    /// Wait before the second call; doubled before each further one.
    pub backoff: Millis,
    /// Whether the service declares that a call may run twice.
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
pub enum ScoreVerdict {
    /// The same sample is called again later.
    Retry,
    /// The sample is discarded, because it may have been scored or calls ran out.
    Discard,
}

#[derive(Debug, Clone)]
struct Call {
    calls: u32,
    deadline: Millis,
}

/// Queue of samples to score, by the number of the attempt that finished them.
#[derive(Debug, Default)]
pub struct ScorerQueue {
    settings: ScorerSettings,
    ready: VecDeque<(u64, u32)>,
    later: BTreeMap<(Millis, u64), u32>,
    running: BTreeMap<u64, Call>,
}

impl ScorerQueue {
    /// Opens an empty queue.
    pub fn open(settings: ScorerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Replaces the limits; calls under way keep their deadline.
    pub fn configure(&mut self, settings: ScorerSettings) {
        self.settings = settings;
    }

    /// Adds a sample.
    pub fn push(&mut self, sample: u64) {
        self.ready.push_back((sample, 0));
    }

    /// Returns the next sample to call for, or none at the limit.
    pub fn next(&mut self, now: Millis) -> Option<u64> {
        if self.running.len() >= self.settings.max_inflight {
            return None;
        }
        let (sample, calls) = self.next_ready(now)?;
        let call = Call {
            calls: calls + 1,
            deadline: now + self.settings.timeout,
        };
        self.running.insert(sample, call);
        Some(sample)
    }

    fn next_ready(&mut self, now: Millis) -> Option<(u64, u32)> {
        let due = self
            .later
            .first_key_value()
            .map(|(key, calls)| (*key, *calls));
        match due {
            Some((key, calls)) if key.0 <= now => {
                self.later.remove(&key);
                Some((key.1, calls))
            }
            _ => self.ready.pop_front(),
        }
    }

    /// Ends the call of `sample`; false if none runs, as after a timeout.
    pub fn finish(&mut self, sample: u64) -> bool {
        self.running.remove(&sample).is_some()
    }

    /// Ends the call of `sample` as failed; none if no call runs.
    pub fn fail(&mut self, now: Millis, sample: u64, ran: Ran) -> Option<ScoreVerdict> {
        let call = self.running.remove(&sample)?;
        let repeatable = self.settings.idempotent || ran == Ran::NotRun;
        if !repeatable || call.calls >= self.settings.max_calls {
            return Some(ScoreVerdict::Discard);
        }
        let wait = Millis(self.settings.backoff.0 << (call.calls - 1).min(16));
        self.later.insert((now + wait, sample), call.calls);
        Some(ScoreVerdict::Retry)
    }

    /// Returns the calls that are past their deadline.
    pub fn overdue(&self, now: Millis) -> Vec<u64> {
        let late = self.running.iter().filter(|(_, call)| call.deadline <= now);
        late.map(|(sample, _)| *sample).collect()
    }

    /// Forgets a sample wherever it is.
    pub fn forget(&mut self, sample: u64) {
        self.running.remove(&sample);
        self.ready.retain(|(other, _)| *other != sample);
        self.later.retain(|(_, other), _| *other != sample);
    }
}
