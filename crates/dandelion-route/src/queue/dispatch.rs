//! Dispatch, isolated trials and preemption.

use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::poison::Status;
use crate::queue::admission;
use crate::queue::event::Action;
use crate::queue::machine::Flight;
use crate::queue::machine::OwnerQueue;
use crate::queue::machine::Place;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;
use crate::ticket::Work;

impl OwnerQueue {
    /// Dispatches while an upstream is free and a request may start.
    pub(super) fn pump(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.run_trials(now, actions);
        if !self.pool.is_open() {
            return self.hand_back(now, actions);
        }
        while self.pool.has_free() {
            let Some((index, class, sequence)) = self.teams.head() else {
                return;
            };
            let Some(waiting) = self.teams.take(now, index, class, sequence) else {
                return;
            };
            self.forget(&waiting);
            self.start_next(now, index, sequence, waiting, actions);
        }
        self.preempt(actions);
    }

    pub(super) fn start_next(
        &mut self,
        now: Millis,
        index: usize,
        sequence: u64,
        waiting: Waiting,
        actions: &mut Vec<Action>,
    ) {
        let ticket = waiting.arrival.ticket;
        match self.suspects.status(waiting.arrival.fingerprint) {
            Some(Status::Blocked) => {
                let refusal = admission::poisoned(&self.settings.service);
                actions.push(Action::Refuse { ticket, refusal });
            }
            Some(Status::Suspect) => {
                self.latest.insert((waiting.latest, ticket));
                self.places.insert(ticket, Place::Isolation(sequence));
                self.isolation.push(sequence, index, waiting);
                self.run_trials(now, actions);
            }
            _ if waiting.since < now && waiting.latest < now => {
                let after = self.pace.service(waiting.work.cost());
                let refusal = admission::overloaded(&self.settings.service, ticket, after);
                actions.push(Action::Refuse { ticket, refusal });
            }
            _ => {
                if let Some(slot) = self.pool.pick(waiting.arrival.prefix) {
                    self.dispatch(now, index, slot, waiting, false, actions);
                }
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        now: Millis,
        index: usize,
        slot: u32,
        waiting: Waiting,
        alone: bool,
        actions: &mut Vec<Action>,
    ) {
        let arrival = waiting.arrival;
        let ticket = arrival.ticket;
        let Some((upstream, boot)) = self.pool.slot(slot).map(|s| (s.id.clone(), s.boot)) else {
            return;
        };
        let class = class_index(arrival.class);
        self.pool.begin(now, slot, arrival.prefix);
        self.teams.update(now, index, |team| {
            team.inflight += 1;
            team.settle(class, Work::default(), waiting.work);
        });
        if arrival.class == Class::Rollout && arrival.resumable && !alone {
            self.rollouts.insert((now, ticket));
        }
        self.at_slot.entry(slot).or_default().insert(ticket);
        let copies = self.copies.entry(arrival.fingerprint).or_default();
        copies.insert(ticket);
        let flight = Flight {
            arrival,
            team: index,
            slot,
            charged: waiting.work,
            started: now,
            alone,
            preempted: false,
        };
        self.flights.insert(ticket, flight);
        actions.push(Action::Dispatch {
            ticket,
            upstream,
            boot,
            alone,
        });
    }

    /// Runs suspects alone on upstreams kept free for them.
    pub(super) fn run_trials(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let wanted = self.isolation.wants_trial();
        if wanted && self.isolation.holds() < self.settings.max_trials {
            let slot = self.pool.reserve(now);
            if let Some(slot) = slot {
                self.isolation.hold(slot);
            }
        }
        for slot in self.isolation.held() {
            if !self.isolation.wants_trial() || self.pool.is_unusable(slot) {
                self.isolation.release(slot);
                self.pool.unreserve(now, slot);
            } else if self.pool.is_idle(slot) {
                self.start_trial(now, slot, actions);
            }
        }
    }

    pub(super) fn start_trial(&mut self, now: Millis, slot: u32, actions: &mut Vec<Action>) {
        while let Some((sequence, index, waiting)) = self.isolation.pop() {
            self.forget(&waiting);
            let ticket = waiting.arrival.ticket;
            let fingerprint = waiting.arrival.fingerprint;
            match self.suspects.status(fingerprint) {
                Some(Status::Suspect) => {
                    self.isolation.begin(slot, ticket, fingerprint);
                    self.dispatch(now, index, slot, waiting, true, actions);
                    return;
                }
                Some(Status::Blocked) => {
                    let refusal = admission::poisoned(&self.settings.service);
                    actions.push(Action::Refuse { ticket, refusal });
                }
                _ => self.queue_up(now, index, sequence, waiting),
            }
        }
    }

    /// Asks for the newest rollouts to be cancelled while interactive requests wait.
    pub(super) fn preempt(&mut self, actions: &mut Vec<Action>) {
        if self.pool.has_free() || self.rollouts.is_empty() {
            return;
        }
        let wanted = self.teams.interactive_ready();
        while self.preempting < wanted {
            let Some((_, ticket)) = self.rollouts.pop_last() else {
                return;
            };
            if let Some(flight) = self.flights.get_mut(&ticket) {
                flight.preempted = true;
                self.preempting += 1;
                actions.push(Action::Preempt { ticket });
            }
        }
    }
}
