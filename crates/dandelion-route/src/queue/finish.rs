//! What happens when requests end or upstreams crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::balance::pool::HealthSignal;
use crate::poison::Status;
use crate::queue::event::Action;
use crate::queue::event::Finish;
use crate::queue::machine::Flight;
use crate::queue::machine::OwnerQueue;
use crate::queue::team::class_index;
use crate::ticket::Fingerprint;
use crate::ticket::Ticket;
use crate::ticket::Work;

impl OwnerQueue {
    pub(super) fn finish(
        &mut self,
        now: Millis,
        ticket: Ticket,
        finish: Finish,
        work: Work,
        latency: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.land(ticket) else {
            return;
        };
        self.settle(now, &flight, finish, work, latency);
        let signal = match finish {
            Finish::Clean => HealthSignal::Clean(latency.0.saturating_mul(1000) / work.cost()),
            Finish::Failed => HealthSignal::Failed,
            Finish::Congested => HealthSignal::Congested,
            Finish::NotSent | Finish::Cancelled | Finish::Preempted => HealthSignal::Neutral,
        };
        if flight.alone {
            self.isolation.end(flight.slot);
            if finish == Finish::Clean {
                let note = self.suspects.clear(flight.arrival.fingerprint);
                actions.push(Action::Note(note));
            }
        }
        let upstream = self.pool.slot(flight.slot).map(|s| s.id.clone());
        let reason = self.pool.end(now, flight.slot, signal);
        if let (Some(upstream), Some(reason)) = (upstream, reason) {
            actions.push(Action::Ejected { upstream, reason });
        }
    }

    /// Takes a request out of the indexes of what is in flight.
    pub(super) fn land(&mut self, ticket: Ticket) -> Option<Flight> {
        let flight = self.flights.remove(&ticket)?;
        self.rollouts.remove(&(flight.started, ticket));
        self.preempting -= usize::from(flight.preempted);
        unlink(&mut self.at_slot, &flight.slot, ticket);
        unlink(&mut self.copies, &flight.arrival.fingerprint, ticket);
        Some(flight)
    }

    pub(super) fn settle(
        &mut self,
        now: Millis,
        flight: &Flight,
        finish: Finish,
        work: Work,
        latency: Millis,
    ) {
        let class = class_index(flight.arrival.class);
        let predicted = flight.arrival.work;
        let charged = flight.charged;
        self.teams.update(now, flight.team, |team| {
            team.inflight = team.inflight.saturating_sub(1);
            team.served += work.cost();
            team.settle(class, charged, work);
            if finish == Finish::Clean {
                team.learn(predicted, work);
            }
        });
        if finish == Finish::Clean {
            self.pace.learn(work.cost(), latency);
        }
    }

    pub(super) fn crash(
        &mut self,
        now: Millis,
        upstream: &UpstreamId,
        boot: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        if let Some(slot) = self.pool.crash(now, upstream, boot) {
            let suspicious = self.pool.slot(slot).is_some_and(|s| !s.leaving);
            self.lose(now, slot, suspicious, actions);
        }
    }

    /// Gives up what was in flight on a crashed upstream. The notes come first, so that the
    /// callers' resends meet them.
    pub(super) fn lose(
        &mut self,
        now: Millis,
        slot: u32,
        suspicious: bool,
        actions: &mut Vec<Action>,
    ) {
        let tickets = self.at_slot.get(&slot).cloned().unwrap_or_default();
        let mut noted = BTreeSet::new();
        for ticket in &tickets {
            let flight = &self.flights[ticket];
            let fingerprint = flight.arrival.fingerprint;
            if !suspicious || !noted.insert(fingerprint) {
                continue;
            }
            let note = self.suspects.crash(now, fingerprint, flight.alone);
            actions.push(Action::Note(note));
            if note.mark == Status::Blocked {
                actions.push(Action::Block(fingerprint));
            }
        }
        for ticket in tickets {
            if let Some(flight) = self.land(ticket) {
                let charged = flight.charged;
                self.settle(now, &flight, Finish::Failed, charged, Millis::ZERO);
                self.pool.end(now, slot, HealthSignal::Neutral);
                actions.push(Action::Lost { ticket });
            }
        }
        self.isolation.end(slot);
        for fingerprint in noted {
            self.recall(fingerprint, actions);
        }
    }

    /// Takes back the copies of a suspect that run elsewhere, where they can be resumed.
    fn recall(&mut self, fingerprint: Fingerprint, actions: &mut Vec<Action>) {
        let copies = self.copies.get(&fingerprint).cloned().unwrap_or_default();
        for ticket in copies {
            let Some(flight) = self.flights.get_mut(&ticket) else {
                continue;
            };
            if flight.arrival.resumable && !flight.alone && !flight.preempted {
                flight.preempted = true;
                self.preempting += 1;
                self.rollouts.remove(&(flight.started, ticket));
                actions.push(Action::Preempt { ticket });
            }
        }
    }
}

fn unlink<K>(index: &mut BTreeMap<K, BTreeSet<Ticket>>, key: &K, ticket: Ticket)
where
    K: Ord,
{
    if let Some(tickets) = index.get_mut(key) {
        tickets.remove(&ticket);
        if tickets.is_empty() {
            index.remove(key);
        }
    }
}
