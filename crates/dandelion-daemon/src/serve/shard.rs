//! One service's queue at this owner, and the requests that wait on it.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::sync::Mutex as AsyncMutex;
use async_std::sync::MutexGuard as AsyncMutexGuard;
use dandelion_kernel::Machine;
use dandelion_protocol::config::Config;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::poison::SuspectNote;
use dandelion_route::queue::Action;
use dandelion_route::queue::Arrival;
use dandelion_route::queue::Finish;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::queue::QueueSettings;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;

/// Verdicts that may wait for one request.
const VERDICTS: usize = 4;

/// What the queue decided on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to this upstream.
    Dispatch {
        /// Upstream.
        upstream: UpstreamId,
        /// Life for which the dispatch holds.
        boot: Incarnation,
        /// Whether it runs in isolation.
        alone: bool,
    },
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Cancel it at the upstream and queue it again.
    Preempt,
    /// Cancel it at the upstream.
    Abort,
    /// It was cut by a crash of its upstream.
    Lost,
}

/// What the queue wants the daemon to tell others.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Notes on suspects, for the daemons of the zone.
    pub notes: Vec<SuspectNote>,
    /// Fingerprints to block everywhere.
    pub blocks: Vec<Fingerprint>,
    /// Upstreams that left the rotation for a while.
    pub ejected: Vec<UpstreamId>,
}

impl Outbox {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty() && self.blocks.is_empty() && self.ejected.is_empty()
    }
}

#[derive(Debug)]
struct State {
    queue: OwnerQueue,
    waiters: BTreeMap<Ticket, Sender<Verdict>>,
    outbox: Outbox,
}

/// Queue of one service under its own lock.
#[derive(Debug)]
pub struct Shard {
    state: Mutex<State>,
    interactive: AtomicU32,
    rollout: AtomicU32,
    spreading: AsyncMutex<()>,
}

impl Shard {
    /// Opens the empty queue of `service`.
    pub fn open(service: &ServiceId) -> Self {
        let queue = OwnerQueue::open(QueueSettings::new(service.clone()));
        let state = State {
            queue,
            waiters: BTreeMap::new(),
            outbox: Outbox::default(),
        };
        Self {
            state: Mutex::new(state),
            interactive: AtomicU32::new(0),
            rollout: AtomicU32::new(0),
            spreading: AsyncMutex::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Queues a request and returns where its verdicts arrive.
    pub fn arrive(&self, now: Millis, arrival: Arrival) -> Receiver<Verdict> {
        let (sender, receiver) = async_channel::bounded(VERDICTS);
        let mut state = self.lock();
        state.waiters.insert(arrival.ticket, sender);
        state.handle(now, QueueEvent::Arrive(arrival));
        receiver
    }

    fn demand_of(&self, class: Class) -> &AtomicU32 {
        match class {
            Class::Interactive => &self.interactive,
            Class::Rollout => &self.rollout,
        }
    }

    /// Counts a request that waits or runs here.
    pub fn begin(&self, class: Class) {
        self.demand_of(class).fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn end(&self, class: Class) {
        self.demand_of(class).fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the requests of a class that wait or run here.
    pub fn demand(&self, class: Class) -> u32 {
        self.demand_of(class).load(Ordering::Relaxed)
    }

    /// Feeds one event.
    pub fn handle(&self, now: Millis, event: QueueEvent) {
        self.lock().handle(now, event);
    }

    /// Reports the end of a dispatched request, after the crash that cut it if there was one.
    pub fn finish(&self, now: Millis, ticket: Ticket, finish: Finish, work: Work, began: Millis) {
        let event = QueueEvent::Finished {
            ticket,
            finish,
            work,
            latency: now.since(began),
        };
        let mut state = self.lock();
        state.handle(now, event);
        state.waiters.remove(&ticket);
    }

    /// Withdraws a request that is not dispatched.
    pub fn cancel(&self, now: Millis, ticket: Ticket) {
        let mut state = self.lock();
        state.handle(now, QueueEvent::Cancel { ticket });
        state.waiters.remove(&ticket);
    }

    /// Takes over limits and blocks.
    pub fn set_config(&self, now: Millis, config: &Config, share: u32) {
        self.lock().queue.set_config(now, config, share);
    }

    /// Waits until no notes of this queue are on their way; they are until the guard is dropped.
    pub async fn spread(&self) -> AsyncMutexGuard<'_, ()> {
        self.spreading.lock().await
    }

    /// Returns whether there is something to tell others.
    pub fn has_news(&self) -> bool {
        !self.lock().outbox.is_empty()
    }

    /// Takes what others are to be told.
    pub fn take_outbox(&self) -> Outbox {
        std::mem::take(&mut self.lock().outbox)
    }

    /// Runs `read` on the queue.
    pub fn read<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&OwnerQueue) -> R,
    {
        read(&self.lock().queue)
    }
}

impl State {
    fn handle(&mut self, now: Millis, event: QueueEvent) {
        let mut actions = Vec::new();
        self.queue.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                ticket,
                upstream,
                boot,
                alone,
            } => {
                let verdict = Verdict::Dispatch {
                    upstream,
                    boot,
                    alone,
                };
                self.tell(ticket, verdict);
            }
            Action::Refuse { ticket, refusal } => {
                self.tell(ticket, Verdict::Refuse(refusal));
                self.waiters.remove(&ticket);
            }
            Action::Preempt { ticket } => self.tell(ticket, Verdict::Preempt),
            Action::Abort { ticket } => self.tell(ticket, Verdict::Abort),
            Action::Lost { ticket } => {
                self.tell(ticket, Verdict::Lost);
                self.waiters.remove(&ticket);
            }
            Action::Ejected { upstream, .. } => self.outbox.ejected.push(upstream),
            Action::Note(note) => self.outbox.notes.push(note),
            Action::Block(fingerprint) => self.outbox.blocks.push(fingerprint),
        }
    }

    fn tell(&self, ticket: Ticket, verdict: Verdict) {
        if let Some(waiter) = self.waiters.get(&ticket) {
            // The channel holds every verdict that one request can get; a closed one means that
            // the request was dropped and its guard reports it.
            let _gone = waiter.try_send(verdict);
        }
    }
}
