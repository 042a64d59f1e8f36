//! Simulated model engine with slots, an internal queue and a prefix cache.

use std::collections::VecDeque;

use super::workload::Request;

/// Time for one prompt token that is not cached, in milliseconds.
pub const PREFILL_MS: f64 = 0.25;

/// Time for one generated token, in milliseconds.
pub const TOKEN_MS: f64 = 10.0;

/// Share of a prompt that is its prefix.
const PREFIX_SHARE: f64 = 0.8;

/// State of one simulated engine.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine's own queue.
    pub waiting: VecDeque<u64>,
    /// Total cost of the requests that ended.
    pub done: u64,
    /// Number of prefix lookups, and of those found in the cache.
    pub lookups: (u64, u64),
    cache: VecDeque<u64>,
    cached: usize,
}

impl Engine {
    /// Creates an engine that caches up to `cached` prefixes.
    pub fn new(cached: usize) -> Self {
        Self {
            cached,
            ..Self::default()
        }
    }

    /// Starts a request; returns how long it will run, in milliseconds.
    pub fn start(&mut self, request: &Request) -> u64 {
        self.running += 1;
        let hit = self.touch(request.prefix);
        self.lookups.0 += 1;
        self.lookups.1 += u64::from(hit);
        let share = if hit { 1.0 - PREFIX_SHARE } else { 1.0 };
        let prefill = request.work.prompt as f64 * share * PREFILL_MS;
        (prefill + request.work.output as f64 * TOKEN_MS) as u64
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|held| *held == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.cached);
        found.is_some()
    }
}
