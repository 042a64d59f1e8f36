//! Periods and leases of the control plane, and their correction for clock drift.

use dandelion_protocol::time::Millis;

/// Greatest rate at which a daemon's clock may run fast or slow, in parts per million.
pub const DRIFT_BOUND_PPM: u64 = 10_000;

const MILLION: u64 = 1_000_000;

/// Periods and leases. All control daemons of a cell use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of the leader.
    pub heartbeat: Millis,
    /// Time after a leader's message during which a voter helps to elect no other leader.
    pub promise: Millis,
    /// Greatest random part of the election timeout, added to `promise`.
    pub election_jitter: Millis,
    /// Time between two renewals of a daemon's lease with its feeder.
    pub feed_period: Millis,
    /// Longest lease that one renewal gives a feeder or a daemon.
    pub feed_lease: Millis,
    /// Shortest time between two reports of a feeder to the leader, and between two
    /// acknowledgements of a daemon to its feeder.
    pub report_gap: Millis,
    /// Time without a reply after which a voter is replaced by a learner, if there is one. It is
    /// longer than a restart, so that a restarted daemon stays a voter.
    pub replace_after: Millis,
    /// Time without contact to a leader after which a replica sends join requests again: it may
    /// have been removed from the group while it was away.
    pub rejoin_after: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Millis(200),
            promise: Millis(1000),
            election_jitter: Millis(600),
            feed_period: Millis(500),
            feed_lease: Millis(2000),
            report_gap: Millis(20),
            replace_after: Millis(6_000),
            rejoin_after: Millis(3_000),
        }
    }
}

impl Timing {
    /// Values for cells of about a thousand daemons, with half as many renewals as the default.
    pub fn large() -> Self {
        Self {
            feed_period: Millis(1000),
            feed_lease: Millis(2500),
            ..Self::default()
        }
    }

    /// Length of the leader lease on the leader's clock: a quorum's promise, shortened for drift.
    pub fn leader_lease(&self) -> Millis {
        shorten(self.promise)
    }
}

/// Shortens a span so that it ends, on a slow clock, before `span` ends on a fast one.
pub fn shorten(span: Millis) -> Millis {
    Millis(span.0 * (MILLION - 2 * DRIFT_BOUND_PPM) / MILLION)
}

/// Lengthens a span so that it ends, on a fast clock, after `span` ends on a slow one.
pub fn lengthen(span: Millis) -> Millis {
    let scaled = span.0 * MILLION / (MILLION - 2 * DRIFT_BOUND_PPM);
    Millis(scaled + 1)
}
