//! Health of one upstream: failures in a row, ejection, half-open probes and slow start.

use dandelion_protocol::time::Millis;

/// Failures in a row that eject an upstream.
pub const FAILURES_TO_EJECT: u32 = 5;

/// First time out of the rotation; doubles with each ejection in a row.
pub const EJECT_FOR: Millis = Millis::from_secs(5);

/// Longest time out of the rotation.
pub const MAX_EJECT: Millis = Millis::from_secs(120);

/// Time over which a new or returned upstream works up to its full share.
pub const SLOW_START: Millis = Millis::from_secs(20);

/// Share of its limit at the beginning of slow start, in thousandths.
pub const START_PERMILLE: u32 = 100;

/// Where an upstream stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In the rotation since the given time.
    Active {
        /// Start of the slow start; none for one that was there first.
        warming: Option<Millis>,
    },
    /// Out of the rotation until the given time.
    Ejected {
        /// When one probe is let through.
        until: Millis,
    },
    /// One request at a time shows whether it works again.
    HalfOpen,
    /// Crashed; waits to be heard again.
    Down,
}

/// Health record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Where it stands.
    pub state: State,
    failures: u32,
    ejections: u32,
}

impl Health {
    /// Starts in the rotation, warming up if others are warm already.
    pub fn new(warming: Option<Millis>) -> Self {
        Self {
            state: State::Active { warming },
            failures: 0,
            ejections: 0,
        }
    }

    /// Counts a clean answer; returns whether it ended a half-open probe.
    pub fn succeed(&mut self, now: Millis) -> bool {
        self.failures = 0;
        let probed = self.state == State::HalfOpen;
        if probed {
            let warming = Some(now);
            self.state = State::Active { warming };
        }
        probed
    }

    /// Counts a failure; returns whether the upstream should be ejected.
    pub fn fail(&mut self) -> bool {
        self.failures += 1;
        self.state == State::HalfOpen || self.failures >= FAILURES_TO_EJECT
    }

    /// Takes the upstream out of the rotation and returns when the probe is due.
    pub fn eject(&mut self, now: Millis) -> Millis {
        let span = EJECT_FOR.0 << self.ejections.min(10);
        let until = now + Millis(span.min(MAX_EJECT.0));
        self.ejections += 1;
        self.failures = 0;
        self.state = State::Ejected { until };
        until
    }

    /// Forgets earlier ejections, after a time in full health.
    pub fn forgive(&mut self) {
        self.ejections = 0;
    }

    /// Lets one probe through.
    pub fn half_open(&mut self) {
        self.state = State::HalfOpen;
    }

    /// Returns the share of its limit that it is offered, in thousandths.
    pub fn share(&self, now: Millis) -> u32 {
        let State::Active {
            warming: Some(since),
        } = self.state
        else {
            return 1000;
        };
        let done = now.since(since).0.min(SLOW_START.0);
        let gained = done * u64::from(1000 - START_PERMILLE) / SLOW_START.0;
        START_PERMILLE + gained as u32
    }

    /// Ends a slow start that is over; returns whether it ended now.
    pub fn end_warming(&mut self, now: Millis) -> bool {
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

    /// Returns whether it may get work in the rotation or as a probe.
    pub fn takes_work(&self) -> bool {
        matches!(self.state, State::Active { .. } | State::HalfOpen)
    }
}
