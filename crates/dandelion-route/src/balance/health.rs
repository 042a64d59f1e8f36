//! Health of one upstream: consecutive failures, ejection, half-open probes and slow start.

use dandelion_protocol::time::Millis;

/// Consecutive failures that eject an upstream.
pub const FAILURES_TO_EJECT: u32 = 5;

/// Duration of the first ejection; doubles with each further one until a slow start completes.
pub const BASE_EJECTION: Millis = Millis::from_secs(5);

/// Longest ejection.
pub const MAX_EJECTION: Millis = Millis::from_secs(120);

/// Duration of slow start, in which the share of a new or recovered upstream rises to its full
/// limit.
pub const SLOW_START: Millis = Millis::from_secs(20);

/// Share of its limit that an upstream is offered when slow start begins, in thousandths.
pub const INITIAL_PERMILLE: u32 = 100;

/// Whether an upstream is in the rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In the rotation.
    Active {
        /// When its slow start began; none if there is none or it is over.
        warming: Option<Millis>,
    },
    /// Out of the rotation.
    Ejected {
        /// When it becomes half-open.
        until: Millis,
    },
    /// Gets one request at a time as a probe; a success returns it to the rotation.
    HalfOpen,
    /// Crashed; its next announcement makes it half-open.
    Down,
}

/// Health of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Whether it is in the rotation.
    pub state: State,
    failures: u32,
    ejections: u32,
}

impl Health {
    /// Creates the health of an upstream in the rotation; `warming` is when its slow start began.
    pub fn new(warming: Option<Millis>) -> Self {
        Self {
            state: State::Active { warming },
            failures: 0,
            ejections: 0,
        }
    }

    /// Counts a clean answer; returns whether it was a successful half-open probe.
    pub fn record_success(&mut self, now: Millis) -> bool {
        self.failures = 0;
        let recovered = self.state == State::HalfOpen;
        if recovered {
            let warming = Some(now);
            self.state = State::Active { warming };
        }
        recovered
    }

    /// Counts a failure; returns whether the upstream should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.state == State::HalfOpen || self.failures >= FAILURES_TO_EJECT
    }

    /// Takes the upstream out of the rotation; returns when it becomes half-open.
    pub fn eject(&mut self, now: Millis) -> Millis {
        let span = BASE_EJECTION.0 << self.ejections.min(10);
        let until = now + Millis(span.min(MAX_EJECTION.0));
        self.ejections += 1;
        self.failures = 0;
        self.state = State::Ejected { until };
        until
    }

    /// Resets the duration of the next ejection, after a completed slow start.
    pub fn reset_ejections(&mut self) {
        self.ejections = 0;
    }

    /// Makes the upstream half-open.
    pub fn half_open(&mut self) {
        self.state = State::HalfOpen;
    }

    /// Returns the share of its limit that it is offered now, in thousandths: below 1000 only in
    /// slow start.
    pub fn share(&self, now: Millis) -> u32 {
        let State::Active {
            warming: Some(since),
        } = self.state
        else {
            return 1000;
        };
        let done = now.since(since).0.min(SLOW_START.0);
        let gained = done * u64::from(1000 - INITIAL_PERMILLE) / SLOW_START.0;
        INITIAL_PERMILLE + gained as u32
    }

    /// Ends a slow start whose time is over; returns whether it did.
    pub fn finish_warming(&mut self, now: Millis) -> bool {
        let State::Active {
            warming: Some(since),
        } = self.state
        else {
            return false;
        };
        let over = now.since(since) >= SLOW_START;
        if over {
            self.state = State::Active { warming: None };
        }
        over
    }

    /// Returns whether it may get work, in the rotation or as a probe.
    pub fn accepts_work(&self) -> bool {
        matches!(self.state, State::Active { .. } | State::HalfOpen)
    }
}
