//! Concurrency limit of one upstream, adapted to the number of requests that it runs without
//! queueing any itself. Reports of requests that wait in the upstream, refusals, failures and
//! rising latency lower the limit.

use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::ReportedLoad;

/// Value of the fixed-point limit that stands for one request.
const UNIT: u32 = 1000;

/// Factor by which a decrease multiplies the limit, in thousandths.
const DECREASE_PERMILLE: u32 = 900;

/// Least time between two decreases, so that one period of congestion counts once.
const DECREASE_INTERVAL: Millis = Millis(1000);

/// Additive increase on clean answers and multiplicative decrease on congestion, between one and
/// the announced capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdaptiveLimit {
    limit: u32,
    ceiling: u32,
    last_decrease: Option<Millis>,
}

impl AdaptiveLimit {
    /// Starts at the announced capacity.
    pub fn new(capacity: u32) -> Self {
        let ceiling = capacity.clamp(1, u32::MAX / UNIT);
        Self {
            limit: ceiling * UNIT,
            ceiling,
            last_decrease: None,
        }
    }

    /// Returns the requests that may run at once, at least 1.
    pub fn get(&self) -> u32 {
        (self.limit / UNIT).max(1)
    }

    /// Applies the announced capacity; a changed one resets the limit to it.
    pub fn set_ceiling(&mut self, capacity: u32) {
        let ceiling = capacity.clamp(1, u32::MAX / UNIT);
        if ceiling != self.ceiling {
            *self = Self::new(ceiling);
        }
    }

    /// Raises the limit after a clean answer by the inverse of the limit, so that as many answers
    /// as the limit raise it by about one.
    pub fn raise(&mut self) {
        let step = UNIT / self.get();
        self.limit = (self.limit + step.max(1)).min(self.ceiling * UNIT);
    }

    /// Lowers the limit after congestion, at most once per `DECREASE_INTERVAL`.
    pub fn lower(&mut self, now: Millis) {
        if self
            .last_decrease
            .is_some_and(|at| now.since(at) < DECREASE_INTERVAL)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit / UNIT * DECREASE_PERMILLE).max(UNIT);
    }

    /// Lowers the limit if the engine reports requests waiting inside it.
    pub fn observe(&mut self, now: Millis, load: &ReportedLoad) {
        if load.waiting > 0 && load.running > 0 {
            self.lower(now);
        }
    }
}
