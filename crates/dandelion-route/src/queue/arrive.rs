//! Admission of requests, their insertion into the queues, and refusals of waiting ones.

use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::time::Millis;

use crate::poison::Status;
use crate::queue::admission;
use crate::queue::event::Action;
use crate::queue::event::Arrival;
use crate::queue::machine::Location;
use crate::queue::machine::OwnerQueue;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;
use crate::registry::ANNOUNCE_INTERVAL;
use crate::ticket::Ticket;

impl OwnerQueue {
    pub(super) fn arrive(&mut self, now: Millis, mut arrival: Arrival, actions: &mut Vec<Action>) {
        let ticket = arrival.ticket;
        arrival.work = arrival.work.bounded();
        if self.locations.contains_key(&ticket) || self.in_flight.contains_key(&ticket) {
            return;
        }
        if let Some(refusal) = self.check_admission(now, &arrival) {
            actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        if !self.ensure_capacity(now, &arrival, actions) {
            let index = self.teams.index(arrival.team.as_ref());
            let after = self.predict_wait(index, &arrival);
            let refusal = admission::overloaded(&self.settings.service, ticket, after);
            actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        self.enqueue(now, arrival);
    }

    /// Returns a refusal if the request is blocked, no upstream can get work, its team is over its
    /// rate, or it cannot meet its deadline. A request that could start immediately is not refused
    /// by prediction, so that finished requests keep correcting the predictions.
    pub(super) fn check_admission(&mut self, now: Millis, arrival: &Arrival) -> Option<Refusal> {
        let service = &self.settings.service;
        let ticket = arrival.ticket;
        let status = self.suspects.status(arrival.fingerprint);
        if status == Some(Status::Blocked) {
            return Some(admission::poisoned(service));
        }
        if self.pool.capacity() == 0 {
            return Some(admission::no_upstream(service, ticket, ANNOUNCE_INTERVAL));
        }
        let remaining = arrival.deadline.since(now);
        if remaining == Millis::ZERO {
            return Some(admission::overloaded(service, ticket, Millis::ZERO));
        }
        let index = self.teams.index(arrival.team.as_ref());
        let class = class_index(arrival.class);
        let limit_wait = self.teams.get_mut(index).rate_wait(now);
        if limit_wait >= remaining {
            return Some(admission::over_limit(service, ticket, limit_wait));
        }
        if self.teams.get(index).queues[class].is_empty() && self.pool.has_free() {
            return None;
        }
        let wait = self.predict_wait(index, arrival);
        let most = self.teams.get(index).upper_estimate(arrival.work).cost();
        let needed = wait + self.service_time.upper_estimate(most);
        (needed > remaining).then(|| admission::overloaded(service, ticket, needed - remaining))
    }

    fn predict_wait(&self, index: usize, arrival: &Arrival) -> Millis {
        let slots = self.pool.capacity();
        let class = class_index(arrival.class);
        let cost = self.teams.get(index).estimate(arrival.work).cost();
        admission::predict_wait(&self.teams, &self.service_time, slots, index, class, cost)
    }

    /// Frees a place in a full queue by refusing the newest request of the team with the longest
    /// queue. Returns false if that is the arriving request's own team.
    pub(super) fn ensure_capacity(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.locations.len() < self.settings.max_queued {
            return true;
        }
        let index = self.teams.index(arrival.team.as_ref());
        let Some((longest, class, sequence)) = self.teams.longest() else {
            return false;
        };
        if longest == index {
            return false;
        }
        let Some(waiting) = self.teams.remove(now, longest, class, sequence) else {
            return false;
        };
        let ticket = waiting.arrival.ticket;
        self.unindex(&waiting);
        let after = self.predict_wait(longest, &waiting.arrival);
        let refusal = admission::overloaded(&self.settings.service, ticket, after);
        actions.push(Action::Refuse { ticket, refusal });
        true
    }

    pub(super) fn enqueue(&mut self, now: Millis, arrival: Arrival) {
        let index = self.teams.index(arrival.team.as_ref());
        let team = self.teams.get(index);
        let work = team.estimate(arrival.work);
        let most = team.upper_estimate(arrival.work);
        let latest_start = arrival.deadline - self.service_time.upper_estimate(most.cost());
        let waiting = Waiting {
            work,
            latest_start,
            arrived_at: now,
            arrival,
        };
        self.sequence += 1;
        self.push_waiting(now, index, self.sequence, waiting);
    }

    pub(super) fn push_waiting(
        &mut self,
        now: Millis,
        index: usize,
        sequence: u64,
        waiting: Waiting,
    ) {
        let ticket = waiting.arrival.ticket;
        let class = class_index(waiting.arrival.class);
        self.start_deadlines.insert((waiting.latest_start, ticket));
        self.locations
            .insert(ticket, Location::Team(index, class, sequence));
        self.teams.push(now, index, sequence, waiting);
    }

    pub(super) fn unindex(&mut self, waiting: &Waiting) {
        let ticket = waiting.arrival.ticket;
        self.locations.remove(&ticket);
        self.start_deadlines.remove(&(waiting.latest_start, ticket));
    }

    /// Removes a waiting request from its queue or from isolation.
    pub(super) fn remove_waiting(
        &mut self,
        now: Millis,
        ticket: Ticket,
    ) -> Option<(usize, Waiting)> {
        let (team, waiting) = match *self.locations.get(&ticket)? {
            Location::Team(index, class, sequence) => {
                (index, self.teams.remove(now, index, class, sequence)?)
            }
            Location::Isolation(sequence) => self.isolation.remove(sequence)?,
        };
        self.unindex(&waiting);
        Some((team, waiting))
    }

    /// Refuses a waiting request whose latest start has passed.
    pub(super) fn expire(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        let limited = match self.locations.get(&ticket) {
            Some(Location::Team(index, _, _)) => self.teams.is_limited(*index),
            _ => false,
        };
        let Some((team, waiting)) = self.remove_waiting(now, ticket) else {
            return;
        };
        let service = &self.settings.service;
        let after = self.predict_wait(team, &waiting.arrival);
        let refusal = if limited {
            admission::over_limit(service, ticket, after)
        } else {
            admission::overloaded(service, ticket, after)
        };
        actions.push(Action::Refuse { ticket, refusal });
    }

    /// Refuses all waiting requests when no upstream remains, so that the entries can send them to
    /// other owners immediately.
    pub(super) fn refuse_all(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some((_, ticket)) = self.start_deadlines.first().copied() {
            if self.remove_waiting(now, ticket).is_none() {
                return;
            }
            let refusal = admission::no_upstream(&self.settings.service, ticket, ANNOUNCE_INTERVAL);
            actions.push(Action::Refuse { ticket, refusal });
        }
    }
}
