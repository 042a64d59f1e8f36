//! The queue's event handling.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::Machine;
use dandelion_protocol::config::Config;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::balance::Pool;
use crate::poison::Suspects;
use crate::queue::admission::Pace;
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

/// Where a waiting request stands.
#[derive(Debug, Clone, Copy)]
pub(super) enum Place {
    Team(usize, usize, u64),
    Isolation(u64),
}

/// A request at an upstream.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) arrival: Arrival,
    pub(super) team: usize,
    pub(super) slot: u32,
    pub(super) charged: Work,
    pub(super) started: Millis,
    pub(super) alone: bool,
    pub(super) preempted: bool,
}

/// Queue of one service at one owner.
#[derive(Debug)]
pub struct OwnerQueue {
    pub(super) settings: QueueSettings,
    pub(super) pool: Pool,
    pub(super) teams: Teams,
    pub(super) suspects: Suspects,
    pub(super) isolation: Isolation,
    pub(super) pace: Pace,
    pub(super) places: BTreeMap<Ticket, Place>,
    pub(super) latest: BTreeSet<(Millis, Ticket)>,
    pub(super) flights: BTreeMap<Ticket, Flight>,
    pub(super) at_slot: BTreeMap<u32, BTreeSet<Ticket>>,
    pub(super) copies: BTreeMap<Fingerprint, BTreeSet<Ticket>>,
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
        self.pump(now, actions);
    }
}

impl OwnerQueue {
    /// Opens an empty queue.
    pub fn open(settings: QueueSettings) -> Self {
        Self {
            settings,
            pool: Pool::default(),
            teams: Teams::default(),
            suspects: Suspects::default(),
            isolation: Isolation::default(),
            pace: Pace::default(),
            places: BTreeMap::new(),
            latest: BTreeSet::new(),
            flights: BTreeMap::new(),
            at_slot: BTreeMap::new(),
            copies: BTreeMap::new(),
            rollouts: BTreeSet::new(),
            preempting: 0,
            sequence: 0,
        }
    }

    /// Takes over teams and blocks; `share` is this owner's part of the service's slots, in
    /// thousandths, and so of the teams' limits.
    pub fn set_config(&mut self, now: Millis, config: &Config, share: u32) {
        self.teams.set_limits(now, &config.teams, share);
        let blocked = config.poisoned.keys().map(|f| Fingerprint(*f));
        self.suspects.set_blocked(blocked);
    }

    /// Borrows the upstreams.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Borrows the teams.
    pub fn teams(&self) -> &Teams {
        &self.teams
    }

    /// Returns the requests waiting.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Returns the requests at upstreams.
    pub fn inflight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the requests that this owner has at one upstream, for drains.
    pub fn inflight_at(&self, upstream: &UpstreamId) -> usize {
        let flights = self.flights.values();
        flights
            .filter(|f| self.pool.slot(f.slot).is_some_and(|s| s.id == *upstream))
            .count()
    }

    fn progress(&mut self, now: Millis, ticket: Ticket, work: Work) {
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        if work.cost() > flight.charged.cost() {
            let before = flight.charged;
            flight.charged = work;
            let class = class_index(flight.arrival.class);
            self.teams
                .update(now, flight.team, |team| team.settle(class, before, work));
        }
    }

    fn change(&mut self, now: Millis, change: &Change, actions: &mut Vec<Action>) {
        if let Some(old) = self.pool.apply(now, change) {
            self.lose(now, old, true, actions);
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.pool.tick(now);
        self.teams.tick(now);
        self.suspects.tick(now);
        while let Some((latest, ticket)) = self.latest.first().copied() {
            if latest > now {
                return;
            }
            self.expire(now, ticket, actions);
        }
    }

    fn cancel(&mut self, now: Millis, ticket: Ticket, actions: &mut Vec<Action>) {
        if self.flights.contains_key(&ticket) {
            actions.push(Action::Abort { ticket });
        } else {
            self.withdraw(now, ticket);
        }
    }
}
