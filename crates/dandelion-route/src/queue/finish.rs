//! Ends of requests and crashes of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::balance::pool::HealthSignal;
use crate::poison::Status;
use crate::queue::event::Action;
use crate::queue::event::Finish;
use crate::queue::machine::InFlight;
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
        let Some(request) = self.remove_in_flight(ticket) else {
            return;
        };
        self.account(now, &request, finish, work, latency);
        let signal = match finish {
            Finish::Clean => HealthSignal::Clean(latency.0.saturating_mul(1000) / work.cost()),
            Finish::Failed => HealthSignal::Failed,
            Finish::Congested => HealthSignal::Congested,
            Finish::NotSent | Finish::Cancelled | Finish::Preempted => HealthSignal::Neutral,
        };
        if request.alone {
            self.isolation.end(request.slot);
            if finish == Finish::Clean {
                let note = self.suspects.clear(request.arrival.fingerprint);
                actions.push(Action::Note(note));
            }
        }
        let upstream = self.pool.slot(request.slot).map(|s| s.id.clone());
        let reason = self.pool.end(now, request.slot, signal);
        if let (Some(upstream), Some(reason)) = (upstream, reason) {
            actions.push(Action::Ejected { upstream, reason });
        }
    }

    /// Removes a request from the indexes of requests in flight.
    pub(super) fn remove_in_flight(&mut self, ticket: Ticket) -> Option<InFlight> {
        let request = self.in_flight.remove(&ticket)?;
        self.rollouts.remove(&(request.started, ticket));
        self.preempting -= usize::from(request.preempted);
        unlink(&mut self.by_slot, &request.slot, ticket);
        unlink(
            &mut self.by_fingerprint,
            &request.arrival.fingerprint,
            ticket,
        );
        Some(request)
    }

    pub(super) fn account(
        &mut self,
        now: Millis,
        request: &InFlight,
        finish: Finish,
        work: Work,
        latency: Millis,
    ) {
        let class = class_index(request.arrival.class);
        let predicted = request.arrival.work;
        let charged = request.charged;
        self.teams.update(now, request.team, |team| {
            team.inflight = team.inflight.saturating_sub(1);
            team.served += work.cost();
            team.charge(class, charged, work);
            if finish == Finish::Clean {
                team.calibrate(predicted, work);
            }
        });
        if finish == Finish::Clean {
            self.service_time.record(work.cost(), latency);
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
            self.fail_in_flight(now, slot, suspicious, actions);
        }
    }

    /// Ends the requests that were in flight on a crashed upstream. The notes come first, so that
    /// the callers' resends are already recognized as suspects.
    pub(super) fn fail_in_flight(
        &mut self,
        now: Millis,
        slot: u32,
        suspicious: bool,
        actions: &mut Vec<Action>,
    ) {
        let tickets = self.by_slot.get(&slot).cloned().unwrap_or_default();
        let mut suspected = BTreeSet::new();
        for ticket in &tickets {
            let request = &self.in_flight[ticket];
            let fingerprint = request.arrival.fingerprint;
            if !suspicious || !suspected.insert(fingerprint) {
                continue;
            }
            let note = self.suspects.crash(now, fingerprint, request.alone);
            actions.push(Action::Note(note));
            if note.mark == Status::Blocked {
                actions.push(Action::Block(fingerprint));
            }
        }
        for ticket in tickets {
            if let Some(request) = self.remove_in_flight(ticket) {
                let charged = request.charged;
                self.account(now, &request, Finish::Failed, charged, Millis::ZERO);
                self.pool.end(now, slot, HealthSignal::Neutral);
                actions.push(Action::Lost { ticket });
            }
        }
        self.isolation.end(slot);
        for fingerprint in suspected {
            self.preempt_copies(fingerprint, actions);
        }
    }

    /// Preempts the copies of a suspect that run on other upstreams, if they can be resumed.
    fn preempt_copies(&mut self, fingerprint: Fingerprint, actions: &mut Vec<Action>) {
        let copies = self
            .by_fingerprint
            .get(&fingerprint)
            .cloned()
            .unwrap_or_default();
        for ticket in copies {
            let Some(request) = self.in_flight.get_mut(&ticket) else {
                continue;
            };
            if request.arrival.resumable && !request.alone && !request.preempted {
                request.preempted = true;
                self.preempting += 1;
                self.rollouts.remove(&(request.started, ticket));
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
