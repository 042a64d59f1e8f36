//! Dispatch, isolated trials and preemption.

use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;

use crate::poison::Status;
use crate::queue::admission;
use crate::queue::event::Action;
use crate::queue::machine::InFlight;
use crate::queue::machine::Location;
use crate::queue::machine::OwnerQueue;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;
use crate::ticket::Work;

impl OwnerQueue {
    /// Dispatches waiting requests while an upstream is free and a request may start.
    pub(super) fn dispatch_ready(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.run_trials(now, actions);
        if !self.pool.is_open() {
            return self.refuse_all(now, actions);
        }
        while self.pool.has_free() {
            let Some((index, class, sequence)) = self.teams.next_request() else {
                return;
            };
            let Some(waiting) = self.teams.remove(now, index, class, sequence) else {
                return;
            };
            self.unindex(&waiting);
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
                self.start_deadlines.insert((waiting.latest_start, ticket));
                self.locations.insert(ticket, Location::Isolation(sequence));
                self.isolation.push(sequence, index, waiting);
                self.run_trials(now, actions);
            }
            _ if waiting.arrived_at < now && waiting.latest_start < now => {
                let after = self.service_time.estimate(waiting.work.cost());
                let refusal = admission::overloaded(&self.settings.service, ticket, after);
                actions.push(Action::Refuse { ticket, refusal });
            }
            _ => {
                if let Some(slot) = self
                    .pool
                    .pick_for(waiting.arrival.prefix, &waiting.arrival.software)
                {
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
            team.charge(class, Work::default(), waiting.work);
        });
        if arrival.class == Class::Rollout && arrival.resumable && !alone {
            self.rollouts.insert((now, ticket));
        }
        self.by_slot.entry(slot).or_default().insert(ticket);
        let copies = self.by_fingerprint.entry(arrival.fingerprint).or_default();
        copies.insert(ticket);
        let request = InFlight {
            arrival,
            team: index,
            slot,
            charged: waiting.work,
            started: now,
            alone,
            preempted: false,
        };
        self.in_flight.insert(ticket, request);
        actions.push(Action::Dispatch {
            ticket,
            upstream,
            boot,
            alone,
        });
    }

    /// Reserves upstreams for suspects and runs each suspect alone on one of them.
    pub(super) fn run_trials(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let needed = self.isolation.has_candidate();
        if needed && self.isolation.reserved_count() < self.settings.max_trials {
            let slot = self.pool.reserve(now);
            if let Some(slot) = slot {
                self.isolation.reserve(slot);
            }
        }
        for slot in self.isolation.idle_slots() {
            if !self.isolation.has_candidate() || self.pool.is_unusable(slot) {
                self.isolation.release(slot);
                self.pool.unreserve(now, slot);
            } else if self.pool.is_idle(slot) {
                self.start_trial(now, slot, actions);
            }
        }
    }

    pub(super) fn start_trial(&mut self, now: Millis, slot: u32, actions: &mut Vec<Action>) {
        while let Some((sequence, index, waiting)) = self.isolation.pop() {
            self.unindex(&waiting);
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
                _ => self.push_waiting(now, index, sequence, waiting),
            }
        }
    }

    /// Preempts the newest rollouts, at most one for each interactive request that waits.
    pub(super) fn preempt(&mut self, actions: &mut Vec<Action>) {
        if self.pool.has_free() || self.rollouts.is_empty() {
            return;
        }
        let needed = self.teams.interactive_ready();
        while self.preempting < needed {
            let Some((_, ticket)) = self.rollouts.pop_last() else {
                return;
            };
            if let Some(request) = self.in_flight.get_mut(&ticket) {
                request.preempted = true;
                self.preempting += 1;
                actions.push(Action::Preempt { ticket });
            }
        }
    }
}
