//! Life signs of one mesh connection: decides when to send a heartbeat and what its lack means.

use std::sync::Mutex;
use std::time::Instant;

use crate::lock::lock;
use crate::mesh::config::Timing;

/// Heartbeat periods between heartbeats while only one-way messages are sent.
const ONE_WAY_FACTOR: u32 = 2;
/// Heartbeat periods between heartbeats while answers keep coming.
const BUSY_FACTOR: u32 = 4;

/// What a connection needs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Nothing,
    /// A heartbeat.
    Heartbeat,
    /// A fresh connection, which replaces this one if it works.
    Replacement,
    /// To be given up.
    End,
    /// To be closed, as it is not used.
    Close,
}

#[derive(Debug)]
struct Times {
    heard: Instant,
    used: Instant,
    beat: Instant,
    /// When the oldest heartbeat without an answer was sent.
    unanswered: Option<Instant>,
}

/// Life signs of one connection.
#[derive(Debug)]
pub struct Watch(Mutex<Times>);

impl Watch {
    /// Starts with a connection that has just been made.
    pub fn new(now: Instant) -> Self {
        Self(Mutex::new(Times {
            heard: now,
            used: now,
            beat: now,
            unanswered: None,
        }))
    }

    /// Notes that something came from the peer.
    pub fn heard(&self, now: Instant) {
        let mut times = lock(&self.0);
        times.heard = now;
        times.unanswered = None;
    }

    /// Notes that something other than a heartbeat was sent.
    pub fn used(&self, now: Instant) {
        lock(&self.0).used = now;
    }

    /// Decides what the connection needs; `busy` tells whether an answer is awaited on it. A
    /// heartbeat that is asked for counts as sent.
    pub fn need(&self, now: Instant, busy: bool, timing: &Timing) -> Need {
        let mut times = lock(&self.0);
        if let Some(since) = times.unanswered {
            let quiet = now.saturating_duration_since(since);
            return match quiet {
                _ if quiet >= timing.dead => Need::End,
                _ if quiet >= timing.silence => Need::Replacement,
                _ => Need::Nothing,
            };
        }
        let quiet = now.saturating_duration_since(times.heard);
        let factor = match (busy, quiet >= timing.heartbeat) {
            (true, true) => 1,
            (true, false) => BUSY_FACTOR,
            (false, _) => ONE_WAY_FACTOR,
        };
        let wanted = busy || times.used > times.heard;
        let due = now.saturating_duration_since(times.beat) >= timing.heartbeat * factor;
        if wanted && due {
            times.beat = now;
            times.unanswered = Some(now);
            return Need::Heartbeat;
        }
        if !busy && now.saturating_duration_since(times.used) >= timing.idle {
            return Need::Close;
        }
        Need::Nothing
    }
}
