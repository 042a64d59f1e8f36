//! Decides which requests a daemon still takes while it stops.
//!
//! Meant for callers that keep using their open connections to a daemon that was told to stop. A
//! request that is cut at the end may have run, and most of them can't be sent again; one that is
//! refused at once goes to another daemon. So a request is taken only if its own time limit ends
//! before the daemon does.

use dandelion_protocol::time::Millis;

/// Part of the time until the kill that is kept for what follows the last answer: the last reports of
/// usage, and leaving the cell.
const RESERVED_PART: u64 = 8;

/// Time in which the last answers are written, once requests that still run are given up.
pub const ANSWER_TIME: Millis = Millis(200);

/// Time by which the answer to a request may exceed its time limit: finding out whether an upstream
/// has ended takes a connection.
const EXCESS: Millis = Millis(500);

/// Times by which a stop is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// Time until the load balancer has noticed that the daemon is no longer ready.
    pub balancer: Millis,
    /// Longest wait for running requests after that.
    pub timeout: Millis,
    /// Time after which the process is killed; none if it is not known.
    pub grace: Option<Millis>,
}

/// A stop in progress, by the boot-time clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    drain: Millis,
    end: Millis,
}

impl Stop {
    /// Begins a stop now.
    pub fn begin(now: Millis, times: &StopTimes) -> Self {
        let Some(grace) = times.grace else {
            let drain = now + times.balancer;
            return Self {
                drain,
                end: drain + times.timeout,
            };
        };
        let usable = Millis(grace.0 - grace.0 / RESERVED_PART);
        Self {
            drain: now + times.balancer.min(usable),
            end: now + usable,
        }
    }

    /// Returns when connections begin to be closed.
    pub fn drain_at(&self) -> Millis {
        self.drain
    }

    /// Returns when requests that still run are given up.
    pub fn cut_at(&self) -> Millis {
        Millis(self.end.0.saturating_sub(ANSWER_TIME.0))
    }

    /// Returns when the last connection is reset.
    pub fn end_at(&self) -> Millis {
        self.end
    }

    /// Returns whether a request is taken that may take `limit` until it is answered. One that may be
    /// repeated is taken in any case while new connections still arrive: most end long before their
    /// limit, and one that is cut can be sent again.
    pub fn takes(&self, now: Millis, limit: Millis, may_repeat: bool) -> bool {
        let answered = now.0.saturating_add(limit.0).saturating_add(EXCESS.0);
        answered <= self.cut_at().0 || (may_repeat && now < self.drain)
    }
}
