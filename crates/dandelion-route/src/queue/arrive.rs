//! Admission of requests, their queueing, and refusals.

use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::time::Millis;

use crate::poison::Status;
use crate::queue::admission;
use crate::queue::event::Action;
use crate::queue::event::Arrival;
use crate::queue::machine::OwnerQueue;
use crate::queue::machine::Place;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;
use crate::registry::ANNOUNCE_INTERVAL;
use crate::ticket::Ticket;

impl OwnerQueue {
    pub(super) fn arrive(&mut self, now: Millis, mut arrival: Arrival, actions: &mut Vec<Action>) {
        let ticket = arrival.ticket;
        arrival.work = arrival.work.bounded();
        if self.places.contains_key(&ticket) || self.flights.contains_key(&ticket) {
            return;
        }
        if let Some(refusal) = self.refuse_early(now, &arrival) {
            actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        if !self.make_room(now, &arrival, actions) {
            let index = self.teams.index(arrival.team.as_ref());
            let after = self.predict_wait(index, &arrival);
            let refusal = admission::overloaded(&self.settings.service, ticket, after);
            actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        self.enqueue(now, arrival);
    }

    /// Refuses what cannot be started before its deadline. What could start at once never is,
    /// so that predictions are always corrected by what runs.
    pub(super) fn refuse_early(&mut self, now: Millis, arrival: &Arrival) -> Option<Refusal> {
        let service = &self.settings.service;
        let ticket = arrival.ticket;
        let status = self.suspects.status(arrival.fingerprint);
        if status == Some(Status::Blocked) {
            return Some(admission::poisoned(service));
        }
        if self.pool.capacity() == 0 {
            return Some(admission::no_upstream(service, ticket, ANNOUNCE_INTERVAL));
        }
        let left = arrival.deadline.since(now);
        if left == Millis::ZERO {
            return Some(admission::overloaded(service, ticket, Millis::ZERO));
        }
        let index = self.teams.index(arrival.team.as_ref());
        let class = class_index(arrival.class);
        let limit_wait = self.teams.get_mut(index).rate_wait(now);
        if limit_wait >= left {
            return Some(admission::over_limit(service, ticket, limit_wait));
        }
        if self.teams.get(index).queues[class].is_empty() && self.pool.has_free() {
            return None;
        }
        let wait = self.predict_wait(index, arrival);
        let most = self.teams.get(index).expect_most(arrival.work).cost();
        let needed = wait + self.pace.service_most(most);
        (needed > left).then(|| admission::overloaded(service, ticket, needed - left))
    }

    fn predict_wait(&self, index: usize, arrival: &Arrival) -> Millis {
        let slots = self.pool.capacity();
        let class = class_index(arrival.class);
        let cost = self.teams.get(index).expect(arrival.work).cost();
        admission::predict_wait(&self.teams, &self.pace, slots, index, class, cost)
    }

    /// Makes room in a full queue by refusing the newest request of the team that has the longest
    /// queue, unless that is the arriving one's.
    pub(super) fn make_room(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.places.len() < self.settings.max_queued {
            return true;
        }
        let index = self.teams.index(arrival.team.as_ref());
        let Some((longest, class, sequence)) = self.teams.longest() else {
            return false;
        };
        if longest == index {
            return false;
        }
        let Some(waiting) = self.teams.take(now, longest, class, sequence) else {
            return false;
        };
        let ticket = waiting.arrival.ticket;
        self.forget(&waiting);
        let after = self.predict_wait(longest, &waiting.arrival);
        let refusal = admission::overloaded(&self.settings.service, ticket, after);
        actions.push(Action::Refuse { ticket, refusal });
        true
    }

    pub(super) fn enqueue(&mut self, now: Millis, arrival: Arrival) {
        let index = self.teams.index(arrival.team.as_ref());
        let team = self.teams.get(index);
        let work = team.expect(arrival.work);
        let most = team.expect_most(arrival.work);
        let latest = arrival.deadline - self.pace.service_most(most.cost());
        let waiting = Waiting {
            work,
            latest,
            since: now,
            arrival,
        };
        self.sequence += 1;
        self.queue_up(now, index, self.sequence, waiting);
    }

    pub(super) fn queue_up(&mut self, now: Millis, index: usize, sequence: u64, waiting: Waiting) {
        let ticket = waiting.arrival.ticket;
        let class = class_index(waiting.arrival.class);
        self.latest.insert((waiting.latest, ticket));
        self.places
            .insert(ticket, Place::Team(index, class, sequence));
        self.teams.push(now, index, sequence, waiting);
    }

    pub(super) fn forget(&mut self, waiting: &Waiting) {
        let ticket = waiting.arrival.ticket;
        self.places.remove(&ticket);
        self.latest.remove(&(waiting.latest, ticket));
    }

    /// Takes a waiting request out, wherever it stands.
    pub(super) fn withdraw(&mut self, now: Millis, ticket: Ticket) -> Option<(usize, Waiting)> {
        let (team, waiting) = match *self.places.get(&ticket)? {
            Place::Team(index, class, sequence) => {
                (index, self.teams.take(now, index, class, sequence)?)
            }
            Place::Isolation(sequence) => self.isolation.take(sequence)?,
        };
        self.forget(&waiting);
        Some((team, waiting))
    }

    /// Refuses a waiting request whose last moment to start has passed.
    pub(super) fn expire(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        let limited = match self.places.get(&ticket) {
            Some(Place::Team(index, _, _)) => self.teams.is_limited(*index),
            _ => false,
        };
        let Some((team, waiting)) = self.withdraw(now, ticket) else {
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

    /// Refuses all that waits as there is no upstream left, so that the entries can place it
    /// elsewhere at once.
    pub(super) fn hand_back(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some((_, ticket)) = self.latest.first().copied() {
            if self.withdraw(now, ticket).is_none() {
                return;
            }
            let refusal = admission::no_upstream(&self.settings.service, ticket, ANNOUNCE_INTERVAL);
            actions.push(Action::Refuse { ticket, refusal });
        }
    }
}
