//! Suspects that wait for an isolated trial, and the upstreams reserved for trials.

use std::collections::BTreeMap;

use crate::queue::team::Waiting;
use crate::ticket::Fingerprint;
use crate::ticket::Ticket;

/// Waiting suspects, and the trial of each reserved upstream.
#[derive(Debug, Default)]
pub struct Isolation {
    waiting: BTreeMap<u64, (usize, Waiting)>,
    trials: BTreeMap<u32, Option<(Ticket, Fingerprint)>>,
}

impl Isolation {
    /// Adds a suspect; `team` is the index of its team.
    pub fn push(&mut self, sequence: u64, team: usize, waiting: Waiting) {
        self.waiting.insert(sequence, (team, waiting));
    }

    /// Removes a waiting suspect.
    pub fn remove(&mut self, sequence: u64) -> Option<(usize, Waiting)> {
        self.waiting.remove(&sequence)
    }

    /// Removes the first suspect whose fingerprint is not on trial.
    pub fn pop(&mut self) -> Option<(u64, usize, Waiting)> {
        let sequence = self
            .waiting
            .iter()
            .find(|(_, (_, w))| !self.is_on_trial(w.arrival.fingerprint))
            .map(|(sequence, _)| *sequence)?;
        let (team, waiting) = self.waiting.remove(&sequence)?;
        Some((sequence, team, waiting))
    }

    fn is_on_trial(&self, fingerprint: Fingerprint) -> bool {
        self.trials
            .values()
            .any(|trial| trial.is_some_and(|(_, f)| f == fingerprint))
    }

    /// Returns whether some waiting suspect is not on trial already.
    pub fn has_candidate(&self) -> bool {
        self.waiting
            .values()
            .any(|(_, w)| !self.is_on_trial(w.arrival.fingerprint))
    }

    /// Adds a reserved upstream.
    pub fn reserve(&mut self, slot: u32) {
        self.trials.insert(slot, None);
    }

    /// Returns the reserved upstreams on which no trial runs.
    pub fn idle_slots(&self) -> Vec<u32> {
        let free = self.trials.iter().filter(|(_, trial)| trial.is_none());
        free.map(|(slot, _)| *slot).collect()
    }

    /// Records the start of a trial.
    pub fn begin(&mut self, slot: u32, ticket: Ticket, fingerprint: Fingerprint) {
        self.trials.insert(slot, Some((ticket, fingerprint)));
    }

    /// Records the end of the trial on an upstream, which stays reserved.
    pub fn end(&mut self, slot: u32) {
        if let Some(trial) = self.trials.get_mut(&slot) {
            *trial = None;
        }
    }

    /// Removes a reserved upstream.
    pub fn release(&mut self, slot: u32) {
        self.trials.remove(&slot);
    }

    /// Returns the number of reserved upstreams.
    pub fn reserved_count(&self) -> usize {
        self.trials.len()
    }

    /// Returns the number of waiting suspects.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no suspect waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
