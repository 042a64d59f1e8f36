//! Liveness of one mesh connection: decides when to send a heartbeat and what to do while one is
//! unanswered.

use std::sync::Mutex;
use std::time::Instant;

use crate::lock::lock;
use crate::mesh::config::Timing;

/// Number of heartbeat periods between heartbeats while only one-way messages are sent.
const ONE_WAY_FACTOR: u32 = 2;
/// Number of heartbeat periods between heartbeats while answers keep coming.
const BUSY_FACTOR: u32 = 4;

/// What to do with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// No action is due.
    Nothing,
    /// Send a heartbeat.
    Heartbeat,
    /// Dial a fresh connection, which replaces this one if it works.
    Replace,
    /// End the connection, as the peer is taken for dead.
    GiveUp,
    /// Close the connection, as it is not used.
    Close,
}

#[derive(Debug)]
struct Times {
    last_received: Instant,
    last_sent: Instant,
    last_heartbeat: Instant,
    /// When the oldest heartbeat without an answer was sent.
    unanswered: Option<Instant>,
}

/// Tracks the liveness of one connection.
#[derive(Debug)]
pub struct Liveness(Mutex<Times>);

impl Liveness {
    /// Starts with a connection that was just opened.
    pub fn new(now: Instant) -> Self {
        Self(Mutex::new(Times {
            last_received: now,
            last_sent: now,
            last_heartbeat: now,
            unanswered: None,
        }))
    }

    /// Records that a message was received from the peer.
    pub fn record_received(&self, now: Instant) {
        let mut times = lock(&self.0);
        times.last_received = now;
        times.unanswered = None;
    }

    /// Records that a message other than a heartbeat was sent.
    pub fn record_sent(&self, now: Instant) {
        lock(&self.0).last_sent = now;
    }

    /// Decides what to do with the connection; `busy` is set while an answer is awaited on it. A
    /// requested heartbeat counts as sent.
    pub fn next_action(&self, now: Instant, busy: bool, timing: &Timing) -> Action {
        let mut times = lock(&self.0);
        if let Some(since) = times.unanswered {
            let quiet = now.saturating_duration_since(since);
            return match quiet {
                _ if quiet >= timing.dead => Action::GiveUp,
                _ if quiet >= timing.silence => Action::Replace,
                _ => Action::Nothing,
            };
        }
        let quiet = now.saturating_duration_since(times.last_received);
        let factor = match (busy, quiet >= timing.heartbeat) {
            (true, true) => 1,
            (true, false) => BUSY_FACTOR,
            (false, _) => ONE_WAY_FACTOR,
        };
        let needed = busy || times.last_sent > times.last_received;
        let due = now.saturating_duration_since(times.last_heartbeat) >= timing.heartbeat * factor;
        if needed && due {
            times.last_heartbeat = now;
            times.unanswered = Some(now);
            return Action::Heartbeat;
        }
        if !busy && now.saturating_duration_since(times.last_sent) >= timing.idle {
            return Action::Close;
        }
        Action::Nothing
    }
}
