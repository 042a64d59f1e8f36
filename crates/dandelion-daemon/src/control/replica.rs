//! Runs a replica of the control group or the store group on its own thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::node::LeaderLease;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::node::Propagation;
use dandelion_control::node::Shortage;
use dandelion_control::node::Status;
use dandelion_control::raft::ChangeError;
use dandelion_control::raft::VoterChange;
use dandelion_kernel::Table;
use dandelion_kernel::TableSet;
use dandelion_lock::TimedReadMutex;
use dandelion_net::clock;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::channel::oneshot;
use rand::Rng;

/// Name of the group of control daemons in log lines and metrics.
pub const CONTROL_GROUP: &str = "control";

/// Name of the group of stores in log lines and metrics.
pub const STORE_GROUP: &str = "store";

/// Events that can be queued for the replica.
const EVENT_CAPACITY: usize = 16_384;

/// Maximum number of events handled with one sync of the disk.
const MAX_BATCH: usize = 1024;

/// Longest wait for an event before the replica gets a tick.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which a replica whose storage has failed is opened again.
const REOPEN_PERIOD: Duration = Duration::from_secs(1);

type Node = ControlNode<FileStorage>;
type Proposed = Result<Answer, ProposeError>;
type Changed = Result<(), ChangeError>;

/// A message to be sent for the replica.
#[derive(Debug)]
pub struct Outgoing {
    /// Daemon that receives it.
    pub to: DaemonId,
    /// Message of the replication or of the feed.
    pub message: MeshMessage,
}

/// Callers that wait for an answer, by ticket.
#[derive(Debug, Default)]
struct Waiters {
    proposals: BTreeMap<u64, oneshot::Sender<Proposed>>,
    changes: BTreeMap<u64, oneshot::Sender<Changed>>,
}

/// State after the last step, read without waiting for a step in progress and its sync.
#[derive(Debug, Default)]
struct Published {
    leader: Option<DaemonId>,
    lease: Option<LeaderLease>,
    shortage: Option<Shortage>,
}

#[derive(Debug)]
struct Shared {
    node: TimedReadMutex<Node>,
    published: ArcSwap<Published>,
    waiters: Mutex<Waiters>,
    tickets: AtomicU64,
}

/// Handle to the running replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    shared: Arc<Shared>,
    events: Sender<NodeEvent>,
}

impl ReplicaHandle {
    /// Starts the replica's thread. Messages to send arrive on the returned channel.
    /// `group` names the group in log lines.
    pub fn spawn(node: Node, group: &'static str) -> (Self, Receiver<Outgoing>) {
        let (events, queue) = async_channel::bounded(EVENT_CAPACITY);
        let (outgoing, messages) = async_channel::unbounded();
        let shared = Arc::new(Shared {
            node: TimedReadMutex::new(node),
            published: ArcSwap::default(),
            waiters: Mutex::default(),
            tickets: AtomicU64::new(1),
        });
        let worker = Worker {
            shared: Arc::clone(&shared),
            group,
            queue,
            outgoing,
        };
        thread::spawn(move || worker.run());
        (Self { shared, events }, messages)
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.shared
            .waiters
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Queues a replication message. A message that finds the queue full is dropped, like one lost
    /// on the network.
    pub fn push_raft(&self, from: &DaemonId, bytes: Vec<u8>) {
        let from = from.clone();
        let _lost = self.events.try_send(NodeEvent::Raft { from, bytes });
    }

    /// Queues a feed message. A message that finds the queue full is dropped, like one lost on the
    /// network.
    pub fn push_feed(&self, from: &DaemonId, bytes: SharedBytes) {
        let from = from.clone();
        let _lost = self.events.try_send(NodeEvent::Feed { from, bytes });
    }

    /// Proposes a change to this replica and waits up to `limit` for its answer. Fails with
    /// `NoLeader` also if the queue is full, and with `Unknown` if no answer came.
    pub async fn propose(&self, proposal: Proposal, limit: Duration) -> Proposed {
        let ticket = self.ticket();
        let (sender, receiver) = oneshot::channel();
        self.waiters().proposals.insert(ticket, sender);
        let event = NodeEvent::Propose { ticket, proposal };
        if self.events.try_send(event).is_err() {
            self.waiters().proposals.remove(&ticket);
            return Err(ProposeError::NoLeader);
        }
        let answer = timeout(limit, receiver).await;
        self.waiters().proposals.remove(&ticket);
        match answer {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Changes the voters and waits up to `limit` for the result; none if it is not known by then.
    pub async fn change_voters(&self, change: VoterChange, limit: Duration) -> Option<Changed> {
        let ticket = self.ticket();
        let (sender, receiver) = oneshot::channel();
        self.waiters().changes.insert(ticket, sender);
        let event = NodeEvent::ChangeVoters { ticket, change };
        self.events.send(event).await.ok()?;
        let answer = timeout(limit, receiver).await;
        self.waiters().changes.remove(&ticket);
        answer.ok()?.ok()
    }

    /// Replaces the daemons of the group that the settings do not name, to which this replica sends
    /// join requests. Dropped if the queue is full.
    pub fn set_extra_peers(&self, peers: Vec<DaemonId>) {
        let _lost = self.events.try_send(NodeEvent::Peers(peers));
    }

    /// Sets the daemons that leave the group permanently; the leader removes their replicas.
    /// Dropped if the queue is full.
    pub fn retire(&self, daemons: Vec<DaemonId>) {
        let _lost = self.events.try_send(NodeEvent::Retire(daemons));
    }

    /// Sets the daemons that stop as planned. Returns false if the queue is full; set them again then.
    pub fn set_stopping(&self, daemons: Vec<DaemonId>) -> bool {
        self.events.try_send(NodeEvent::Stopping(daemons)).is_ok()
    }

    /// Transfers the leadership, if held, and waits up to `limit` until it is given up.
    pub async fn resign(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.leader_term(Millis::ZERO).is_some() && Instant::now() < until {
            // The next iteration repeats an event that finds the queue full.
            let _full = self.events.try_send(NodeEvent::Resign);
            async_std::task::sleep(TICK).await;
        }
    }

    fn ticket(&self) -> u64 {
        self.shared.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the term if this daemon holds the leader lease for longer than `margin` from now.
    pub fn leader_term(&self, margin: Millis) -> Option<Term> {
        let published = self.shared.published.load();
        let lease = published
            .lease
            .filter(|c| c.covers(clock::boot_now(), margin));
        lease.map(|c| c.term)
    }

    /// Returns the leader of the group, if this replica knows one.
    pub fn leader(&self) -> Option<DaemonId> {
        self.shared.published.load().leader.clone()
    }

    /// Returns the votes that the group lacks, and for how long; none if it is complete or this daemon does
    /// not lead.
    pub fn shortage(&self) -> Option<(usize, Millis)> {
        let shortage = self.shared.published.load().shortage?;
        Some((shortage.missing, clock::boot_now().since(shortage.since)))
    }

    /// Returns the replica's state for operators; waits for a step in progress.
    pub fn status(&self) -> Status {
        self.shared.node.lock().status(clock::boot_now())
    }

    /// Returns how many daemons have applied a revision; none if this daemon does not lead.
    pub fn propagation(&self, revision: Revision) -> Option<Propagation> {
        self.shared
            .node
            .lock()
            .propagation(revision, clock::boot_now())
    }

    /// Runs `read` on a table; none if the table is not linked. Waits for a step in progress.
    pub fn read<T, R, F>(&self, read: F) -> Option<R>
    where
        T: Table,
        F: FnOnce(&T) -> R,
    {
        self.shared.node.lock().tables().table::<T>().map(read)
    }

    /// Runs `read` on a table. Returns none if the replica waits for a stalled disk, or if the
    /// table is not linked.
    pub fn try_read<T, R, F>(&self, read: F) -> Option<R>
    where
        T: Table,
        F: FnOnce(&T) -> R,
    {
        let found = self
            .shared
            .node
            .try_read(|node| node.tables().table::<T>().map(read));
        found.flatten()
    }

    /// Runs `read` on all tables. Waits for a step in progress.
    pub fn read_all<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&TableSet) -> R,
    {
        read(self.shared.node.lock().tables())
    }
}

struct Worker {
    shared: Arc<Shared>,
    group: &'static str,
    queue: Receiver<NodeEvent>,
    outgoing: Sender<Outgoing>,
}

impl Worker {
    fn run(self) {
        let mut held = Vec::new();
        while let Some(events) = self.next_batch(std::mem::take(&mut held)) {
            if !self.step(events) {
                let Some(kept) = self.reopen() else {
                    return;
                };
                held = kept;
            }
        }
    }

    /// Opens the replica again until its storage works, and refuses what is asked of it meanwhile.
    /// Returns the events that it still needs; none once every handle is dropped.
    fn reopen(&self) -> Option<Vec<NodeEvent>> {
        let mut kept = Vec::new();
        let mut next = Instant::now() + REOPEN_PERIOD;
        loop {
            let wait = next.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                if self.try_reopen() {
                    return Some(kept);
                }
                next = Instant::now() + REOPEN_PERIOD;
                continue;
            }
            match async_std::task::block_on(timeout(wait, self.queue.recv())) {
                Ok(Ok(NodeEvent::Propose { ticket, .. })) => {
                    let result = Err(ProposeError::NoLeader);
                    self.execute(NodeAction::Answer { ticket, result });
                }
                Ok(Ok(NodeEvent::ChangeVoters { ticket, .. })) => {
                    let result = Err(ChangeError::NotLeader);
                    self.execute(NodeAction::Changed { ticket, result });
                }
                Ok(Ok(
                    event @ (NodeEvent::Peers(_) | NodeEvent::Retire(_) | NodeEvent::Stopping(_)),
                )) => kept.push(event),
                Ok(Err(_)) => return None,
                Ok(Ok(_)) | Err(_) => (),
            }
        }
    }

    fn try_reopen(&self) -> bool {
        let seed = rand::rng().random();
        let reopened = self.shared.node.lock().reopen(clock::boot_now(), seed);
        match &reopened {
            Ok(()) => event!(Event::StorageReopened),
            Err(error) => event!(Event::StorageFailed, error = error),
        }
        reopened.is_ok()
    }

    /// Returns the held events, a tick and the queued events, after waiting at most [`TICK`] for the
    /// first of them; none once every handle is dropped.
    fn next_batch(&self, held: Vec<NodeEvent>) -> Option<Vec<NodeEvent>> {
        let mut events = held;
        events.push(NodeEvent::Tick);
        match async_std::task::block_on(timeout(TICK, self.queue.recv())) {
            Ok(Ok(event)) => events.push(event),
            Ok(Err(_)) => return None,
            Err(_) => return Some(events),
        }
        while events.len() < MAX_BATCH {
            match self.queue.try_recv() {
                Ok(event) => events.push(event),
                Err(_) => break,
            }
        }
        Some(events)
    }

    /// Handles one batch. Returns false if the storage failed. The replica then names no leader: it
    /// learns of no other one until it is opened again.
    fn step(&self, events: Vec<NodeEvent>) -> bool {
        let mut actions = Vec::new();
        let stepped = {
            let mut node = self.shared.node.lock();
            let now = clock::boot_now();
            let stepped = node.step(now, clock::wall_now(), events, &mut actions);
            // Published before any message is sent, so that this daemon stops acting as leader
            // before another daemon receives its resignation.
            self.publish(match stepped {
                Ok(()) => Published {
                    leader: node.leader().cloned(),
                    lease: node.leader_lease(now),
                    shortage: node.shortage(),
                },
                Err(_) => Published::default(),
            });
            stepped
        };
        if let Err(error) = stepped {
            event!(Event::StorageFailed, error = error);
            return false;
        }
        for action in actions {
            self.execute(action);
        }
        true
    }

    fn publish(&self, published: Published) {
        let leader = published.leader.clone();
        let previous = self.shared.published.swap(Arc::new(published));
        if previous.leader != leader {
            let name =
                |id: &Option<DaemonId>| id.as_ref().map_or("none", DaemonId::as_str).to_owned();
            event!(
                Event::LeaderKnown,
                leader = name(&leader),
                previous = name(&previous.leader)
            );
        }
    }

    fn execute(&self, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => {
                // The channel is unbounded and its reader lives as long as the process.
                let _closed = self.outgoing.try_send(Outgoing { to, message });
            }
            NodeAction::Answer { ticket, result } => {
                let mut waiters = self.shared.waiters.lock().expect("no holder panics");
                if let Some(sender) = waiters.proposals.remove(&ticket) {
                    let _gone = sender.send(result);
                }
            }
            NodeAction::Changed { ticket, result } => {
                let mut waiters = self.shared.waiters.lock().expect("no holder panics");
                if let Some(sender) = waiters.changes.remove(&ticket) {
                    let _gone = sender.send(result);
                }
            }
            NodeAction::Lead { term } => event!(Event::LeaderElected, term = term),
            NodeAction::Follow => event!(Event::LeaderLost),
            NodeAction::HandOver { from, to } => {
                event!(
                    Event::VoteHandedOver,
                    group = self.group,
                    from = from,
                    to = to
                );
            }
            NodeAction::WithdrawVote { from, to, silent } => {
                event!(
                    Event::VoteWithdrawn,
                    group = self.group,
                    from = from,
                    to = to,
                    silent_ms = silent.0
                );
            }
            NodeAction::Short {
                voters,
                silent,
                learners,
            } => {
                event!(
                    Event::GroupShort,
                    group = self.group,
                    voters = join(&voters),
                    silent = join(&silent),
                    learners = join(&learners)
                );
            }
            NodeAction::Complete { lasted } => {
                event!(
                    Event::GroupComplete,
                    group = self.group,
                    short_ms = lasted.0
                );
            }
            NodeAction::Applied { .. } => (),
        }
    }
}

fn join(daemons: &[DaemonId]) -> String {
    let names = daemons.iter().map(DaemonId::as_str);
    names.collect::<Vec<_>>().join(",")
}
