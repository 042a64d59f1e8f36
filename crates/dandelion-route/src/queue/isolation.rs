//! Suspects waiting for an isolated trial, and the upstreams kept free for them.

use std::collections::BTreeMap;

use crate::queue::team::Waiting;
use crate::ticket::Fingerprint;
use crate::ticket::Ticket;

/// Suspects and their trials.
#[derive(Debug, Default)]
pub struct Isolation {
    waiting: BTreeMap<u64, (usize, Waiting)>,
    trials: BTreeMap<u32, Option<(Ticket, Fingerprint)>>,
}

impl Isolation {
    /// Adds a suspect of a team.
    pub fn push(&mut self, sequence: u64, team: usize, waiting: Waiting) {
        self.waiting.insert(sequence, (team, waiting));
    }

    /// Takes out a suspect.
    pub fn take(&mut self, sequence: u64) -> Option<(usize, Waiting)> {
        self.waiting.remove(&sequence)
    }

    /// Takes out the first suspect whose content is not on trial.
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

    /// Returns whether some suspect could start a trial.
    pub fn wants_trial(&self) -> bool {
        self.waiting
            .values()
            .any(|(_, w)| !self.is_on_trial(w.arrival.fingerprint))
    }

    /// Adds an upstream that is kept free.
    pub fn hold(&mut self, slot: u32) {
        self.trials.insert(slot, None);
    }

    /// Returns the upstreams kept free on which no trial runs.
    pub fn held(&self) -> Vec<u32> {
        let free = self.trials.iter().filter(|(_, trial)| trial.is_none());
        free.map(|(slot, _)| *slot).collect()
    }

    /// Starts a trial.
    pub fn begin(&mut self, slot: u32, ticket: Ticket, fingerprint: Fingerprint) {
        self.trials.insert(slot, Some((ticket, fingerprint)));
    }

    /// Ends the trial on an upstream, which stays held.
    pub fn end(&mut self, slot: u32) {
        if let Some(trial) = self.trials.get_mut(&slot) {
            *trial = None;
        }
    }

    /// Gives an upstream back.
    pub fn release(&mut self, slot: u32) {
        self.trials.remove(&slot);
    }

    /// Returns the upstreams held.
    pub fn holds(&self) -> usize {
        self.trials.len()
    }

    /// Returns the suspects waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no suspect waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
