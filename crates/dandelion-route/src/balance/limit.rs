//! Concurrency limit of one upstream, adapted to what it takes without queueing inside: waiting
//! requests in its reports, refusals, failures and rising latency lower it.

use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::ReportedLoad;

/// Scale of the fixed-point limit.
const UNIT: u32 = 1000;

/// Share kept by one decrease, in thousandths.
const DECREASE_PERMILLE: u32 = 900;

/// Least time between two decreases, so that one congested moment counts once.
const DECREASE_PAUSE: Millis = Millis(1000);

/// Limit by additive increase on clean answers and multiplicative decrease on congestion, between
/// one and the announced capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdaptiveLimit {
    limit: u32,
    ceiling: u32,
    decreased: Option<Millis>,
}

impl AdaptiveLimit {
    /// Starts at the announced capacity.
    pub fn new(capacity: u32) -> Self {
        let ceiling = capacity.clamp(1, u32::MAX / UNIT);
        Self {
            limit: ceiling * UNIT,
            ceiling,
            decreased: None,
        }
    }

    /// Returns the requests that may run at once, at least 1.
    pub fn get(&self) -> u32 {
        (self.limit / UNIT).max(1)
    }

    /// Takes over a changed capacity.
    pub fn set_ceiling(&mut self, capacity: u32) {
        let ceiling = capacity.clamp(1, u32::MAX / UNIT);
        if ceiling != self.ceiling {
            *self = Self::new(ceiling);
        }
    }

    /// Counts a clean answer.
    pub fn raise(&mut self) {
        let step = UNIT / self.get();
        self.limit = (self.limit + step.max(1)).min(self.ceiling * UNIT);
    }

    /// Lowers the limit after congestion, at most once in a pause.
    pub fn lower(&mut self, now: Millis) {
        if self
            .decreased
            .is_some_and(|at| now.since(at) < DECREASE_PAUSE)
        {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit / UNIT * DECREASE_PERMILLE).max(UNIT);
    }

    /// Lowers the limit if the engine reports requests waiting inside it.
    pub fn observe(&mut self, now: Millis, load: &ReportedLoad) {
        if load.waiting > 0 && load.running > 0 {
            self.lower(now);
        }
    }
}
