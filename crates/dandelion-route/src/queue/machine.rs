//! The owner's queue as a state machine: its state and the handling of events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::Machine;
use dandelion_protocol::config::Config;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::balance::Pool;
use crate::poison::Suspects;
use crate::queue::admission::ServiceTime;
use crate::queue::event::Action;
use crate::queue::event::Arrival;
use crate::queue::event::QueueEvent;
use crate::queue::isolation::Isolation;
use crate::queue::settings::QueueSettings;
use crate::queue::team::class_index;
use crate::queue::teams::Teams;
use crate::registry::Change;
use crate::ticket::Fingerprint;
use crate::ticket::Ticket;
use crate::ticket::Work;

/// Where a waiting request is: in a queue (team, class, sequence), or in isolation (sequence).
#[derive(Debug, Clone, Copy)]
pub(super) enum Location {
    Team(usize, usize, u64),
    Isolation(u64),
}

/// A request at an upstream.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) arrival: Arrival,
    pub(super) team: usize,
    pub(super) slot: u32,
    pub(super) charged: Work,
    pub(super) started: Millis,
    pub(super) alone: bool,
    pub(super) preempted: bool,
}

/// Queue of one service at one owner, with the upstreams that it dispatches to.
#[derive(Debug)]
pub struct OwnerQueue {
    pub(super) settings: QueueSettings,
    pub(super) pool: Pool,
    pub(super) teams: Teams,
    pub(super) suspects: Suspects,
    pub(super) isolation: Isolation,
    pub(super) service_time: ServiceTime,
    pub(super) locations: BTreeMap<Ticket, Location>,
    pub(super) start_deadlines: BTreeSet<(Millis, Ticket)>,
    pub(super) in_flight: BTreeMap<Ticket, InFlight>,
    pub(super) by_slot: BTreeMap<u32, BTreeSet<Ticket>>,
    pub(super) by_fingerprint: BTreeMap<Fingerprint, BTreeSet<Ticket>>,
    pub(super) rollouts: BTreeSet<(Millis, Ticket)>,
    pub(super) preempting: usize,
    pub(super) sequence: u64,
}

impl Machine for OwnerQueue {
    type Event = QueueEvent;
    type Action = Action;

    fn handle(&mut self, now: Millis, event: QueueEvent, actions: &mut Vec<Action>) {
        match event {
            QueueEvent::Arrive(arrival) => self.arrive(now, arrival, actions),
            QueueEvent::Progress { ticket, work } => self.progress(now, ticket, work.bounded()),
            QueueEvent::Finished {
                ticket,
                finish,
                work,
                latency,
            } => self.finish(now, ticket, finish, work.bounded(), latency, actions),
            QueueEvent::Crashed { upstream, boot } => self.crash(now, &upstream, boot, actions),
            QueueEvent::Cancel { ticket } => self.cancel(now, ticket, actions),
            QueueEvent::Upstream(change) => self.change(now, &change, actions),
            QueueEvent::Cache(event) => self.pool.cache(&event),
            QueueEvent::Notes(notes) => {
                for note in notes {
                    self.suspects.merge(now, note);
                }
            }
            QueueEvent::Tick => self.tick(now, actions),
        }
        self.dispatch_ready(now, actions);
    }
}

impl OwnerQueue {
    /// Opens an empty queue without upstreams.
    pub fn open(settings: QueueSettings) -> Self {
        Self {
            settings,
            pool: Pool::default(),
            teams: Teams::default(),
            suspects: Suspects::default(),
            isolation: Isolation::default(),
            service_time: ServiceTime::default(),
            locations: BTreeMap::new(),
            start_deadlines: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            by_slot: BTreeMap::new(),
            by_fingerprint: BTreeMap::new(),
            rollouts: BTreeSet::new(),
            preempting: 0,
            sequence: 0,
        }
    }

    /// Applies the teams and blocks of the configuration. `share` is this owner's share of the
    /// service's slots in thousandths, to which the teams' limits are scaled.
    pub fn set_config(&mut self, now: Millis, config: &Config, share: u32) {
        self.teams.set_limits(now, &config.teams, share);
        let blocked = config.poisoned.keys().map(|f| Fingerprint(*f));
        self.suspects.set_blocked(blocked);
    }

    /// Returns the upstreams.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the teams.
    pub fn teams(&self) -> &Teams {
        &self.teams
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.locations.len()
    }

    /// Returns the number of requests at upstreams.
    pub fn inflight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of this owner's requests at one upstream, all its boots included.
    pub fn inflight_at(&self, upstream: &UpstreamId) -> usize {
        let in_flight = self.in_flight.values();
        in_flight
            .filter(|f| self.pool.slot(f.slot).is_some_and(|s| s.id == *upstream))
            .count()
    }

    fn progress(&mut self, now: Millis, ticket: Ticket, work: Work) {
        let Some(request) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        if work.cost() > request.charged.cost() {
            let before = request.charged;
            request.charged = work;
            let class = class_index(request.arrival.class);
            self.teams
                .update(now, request.team, |team| team.charge(class, before, work));
        }
    }

    fn change(&mut self, now: Millis, change: &Change, actions: &mut Vec<Action>) {
        if let Some(old) = self.pool.apply(now, change) {
            self.fail_in_flight(now, old, true, actions);
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.pool.tick(now);
        self.teams.tick(now);
        self.suspects.tick(now);
        while let Some((deadline, ticket)) = self.start_deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.expire(now, ticket, actions);
        }
    }

    fn cancel(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.in_flight.contains_key(&ticket) {
            actions.push(Action::Abort { ticket });
        } else {
            self.remove_waiting(now, ticket);
        }
    }
}
