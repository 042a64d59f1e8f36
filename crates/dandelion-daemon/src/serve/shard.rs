//! The queue of one service at this owner, and the requests that wait in it.

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

/// Decisions that can be queued for one request.
const DECISION_CAPACITY: usize = 4;

/// A decision of the queue on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueDecision {
    /// Send it to this upstream.
    Dispatch {
        /// Upstream that runs the request.
        upstream: UpstreamId,
        /// Incarnation of the upstream for which the dispatch is valid.
        boot: Incarnation,
        /// Whether it runs alone on the upstream, as a suspected poison request.
        alone: bool,
    },
    /// Answer the caller with this refusal.
    Refuse(Refusal),
    /// Cancel it at the upstream and queue it again.
    Preempt,
    /// Cancel it at the upstream.
    Abort,
    /// It was interrupted by a crash of its upstream; the queue has removed it.
    Lost,
}

/// Messages of the queue to other daemons, not yet sent.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Notes on suspected poison requests, for the daemons of this zone and of the others.
    pub notes: Vec<SuspectNote>,
    /// Fingerprints of poison requests to block in the whole cell.
    pub blocks: Vec<Fingerprint>,
    /// Upstreams that were ejected from load balancing for a while.
    pub ejected: Vec<UpstreamId>,
}

impl Outbox {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty() && self.blocks.is_empty() && self.ejected.is_empty()
    }
}

#[derive(Debug)]
struct State {
    queue: OwnerQueue,
    waiters: BTreeMap<Ticket, Sender<QueueDecision>>,
    outbox: Outbox,
}

/// The queue of one service under its own lock.
#[derive(Debug)]
pub struct Shard {
    state: Mutex<State>,
    interactive: AtomicU32,
    rollout: AtomicU32,
    broadcast: AsyncMutex<()>,
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
            broadcast: AsyncMutex::new(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Queues a request and returns the channel for its decisions.
    pub fn enqueue(&self, now: Millis, arrival: Arrival) -> Receiver<QueueDecision> {
        let (sender, receiver) = async_channel::bounded(DECISION_CAPACITY);
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

    /// Counts a new request as waiting or running here.
    pub fn begin(&self, class: Class) {
        self.demand_of(class).fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn end(&self, class: Class) {
        self.demand_of(class).fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests of a class that wait or run here.
    pub fn demand(&self, class: Class) -> u32 {
        self.demand_of(class).load(Ordering::Relaxed)
    }

    /// Handles one event of the queue.
    pub fn handle(&self, now: Millis, event: QueueEvent) {
        self.lock().handle(now, event);
    }

    /// Reports the end of a dispatched request. If a crash interrupted the request, the crash must
    /// be reported first.
    pub fn finish(
        &self,
        now: Millis,
        ticket: Ticket,
        finish: Finish,
        work: Work,
        dispatched: Millis,
    ) {
        let event = QueueEvent::Finished {
            ticket,
            finish,
            work,
            latency: now.since(dispatched),
        };
        let mut state = self.lock();
        state.handle(now, event);
        state.waiters.remove(&ticket);
    }

    /// Removes a request that has not been dispatched.
    pub fn cancel(&self, now: Millis, ticket: Ticket) {
        let mut state = self.lock();
        state.handle(now, QueueEvent::Cancel { ticket });
        state.waiters.remove(&ticket);
    }

    /// Applies team limits and blocked fingerprints; `share` is this owner's share of the slots, in
    /// thousandths.
    pub fn set_config(&self, now: Millis, config: &Config, share: u32) {
        self.lock().queue.set_config(now, config, share);
    }

    /// Waits until no other task sends the outbox of this queue. The caller may send it until it
    /// drops the guard.
    pub async fn lock_broadcast(&self) -> AsyncMutexGuard<'_, ()> {
        self.broadcast.lock().await
    }

    /// Returns whether the outbox has messages.
    pub fn has_outgoing(&self) -> bool {
        !self.lock().outbox.is_empty()
    }

    /// Takes the messages out of the outbox.
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
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                ticket,
                upstream,
                boot,
                alone,
            } => {
                let decision = QueueDecision::Dispatch {
                    upstream,
                    boot,
                    alone,
                };
                self.send_decision(ticket, decision);
            }
            Action::Refuse { ticket, refusal } => {
                self.send_decision(ticket, QueueDecision::Refuse(refusal));
                self.waiters.remove(&ticket);
            }
            Action::Preempt { ticket } => self.send_decision(ticket, QueueDecision::Preempt),
            Action::Abort { ticket } => self.send_decision(ticket, QueueDecision::Abort),
            Action::Lost { ticket } => {
                self.send_decision(ticket, QueueDecision::Lost);
                self.waiters.remove(&ticket);
            }
            Action::Ejected { upstream, .. } => self.outbox.ejected.push(upstream),
            Action::Note(note) => self.outbox.notes.push(note),
            Action::Block(fingerprint) => self.outbox.blocks.push(fingerprint),
        }
    }

    fn send_decision(&self, ticket: Ticket, decision: QueueDecision) {
        if let Some(waiter) = self.waiters.get(&ticket) {
            // The channel has room for every decision that one request can get. If it is closed,
            // the request was dropped, which reported its end.
            let _gone = waiter.try_send(decision);
        }
    }
}
