//! Runs the replica of a control daemon on a thread of its own.

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
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::channel::oneshot;

/// Events that may wait for the replica.
const QUEUE: usize = 16_384;

/// Most events handled with one sync.
const BATCH: usize = 1024;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);

type Node = ControlNode<FileStorage>;
type Proposed = Result<Answer, ProposeError>;
type Changed = Result<(), ChangeError>;

/// A message that the replica wants sent.
#[derive(Debug)]
pub struct Outgoing {
    /// Receiver.
    pub to: DaemonId,
    /// Message.
    pub message: MeshMessage,
}

#[derive(Debug, Default)]
struct Waiting {
    proposals: BTreeMap<u64, oneshot::Sender<Proposed>>,
    changes: BTreeMap<u64, oneshot::Sender<Changed>>,
}

/// What others read without waiting for a step and its sync.
#[derive(Debug, Default)]
struct Published {
    leader: Option<DaemonId>,
    leader_lease: Option<LeaderLease>,
}

#[derive(Debug)]
struct Shared {
    node: TimedReadMutex<Node>,
    published: ArcSwap<Published>,
    waiting: Mutex<Waiting>,
    tickets: AtomicU64,
}

/// Handle to the running replica.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    shared: Arc<Shared>,
    events: Sender<NodeEvent>,
}

impl ReplicaHandle {
    /// Starts the replica's thread; messages to send appear on the returned channel.
    pub fn spawn(node: Node) -> (Self, Receiver<Outgoing>) {
        let (events, queue) = async_channel::bounded(QUEUE);
        let (outgoing, messages) = async_channel::unbounded();
        let shared = Arc::new(Shared {
            node: TimedReadMutex::new(node),
            published: ArcSwap::default(),
            waiting: Mutex::default(),
            tickets: AtomicU64::new(1),
        });
        let worker = Worker {
            shared: Arc::clone(&shared),
            queue,
            outgoing,
        };
        thread::spawn(move || worker.run());
        (Self { shared, events }, messages)
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.shared
            .waiting
            .lock()
            .expect("no holder of this lock panics")
    }

    /// Takes a replication message; one that finds the queue full is lost, as on a network.
    pub fn push_raft(&self, from: &DaemonId, bytes: Vec<u8>) {
        let from = from.clone();
        let _lost = self.events.try_send(NodeEvent::Raft { from, bytes });
    }

    /// Takes a feed message; one that finds the queue full is lost, as on a network.
    pub fn push_feed(&self, from: &DaemonId, bytes: Vec<u8>) {
        let from = from.clone();
        let _lost = self.events.try_send(NodeEvent::Feed { from, bytes });
    }

    /// Proposes a change here and waits for its answer.
    pub async fn propose(&self, proposal: Proposal, limit: Duration) -> Proposed {
        let ticket = self.ticket();
        let (sender, receiver) = oneshot::channel();
        self.waiting().proposals.insert(ticket, sender);
        let event = NodeEvent::Propose { ticket, proposal };
        if self.events.try_send(event).is_err() {
            self.waiting().proposals.remove(&ticket);
            return Err(ProposeError::NoLeader);
        }
        let answer = timeout(limit, receiver).await;
        self.waiting().proposals.remove(&ticket);
        match answer {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Changes the voters and waits for the result; nothing if it is not known in time.
    pub async fn change_voters(&self, change: VoterChange, limit: Duration) -> Option<Changed> {
        let ticket = self.ticket();
        let (sender, receiver) = oneshot::channel();
        self.waiting().changes.insert(ticket, sender);
        let event = NodeEvent::ChangeVoters { ticket, change };
        self.events.send(event).await.ok()?;
        let answer = timeout(limit, receiver).await;
        self.waiting().changes.remove(&ticket);
        answer.ok()?.ok()
    }

    /// Names daemons of the group that the settings do not; lost if the queue is full.
    pub fn meet(&self, peers: Vec<DaemonId>) {
        let _lost = self.events.try_send(NodeEvent::Peers(peers));
    }

    /// Names daemons that leave the group for good; lost if the queue is full.
    pub fn retire(&self, daemons: Vec<DaemonId>) {
        let _lost = self.events.try_send(NodeEvent::Retire(daemons));
    }

    /// Hands the leadership over, if held, and waits until another daemon may lead.
    pub async fn resign(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.in_charge(Millis::ZERO).is_some() && Instant::now() < until {
            // One that finds the queue full is repeated.
            let _full = self.events.try_send(NodeEvent::Resign);
            async_std::task::sleep(TICK).await;
        }
    }

    fn ticket(&self) -> u64 {
        self.shared.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the term if this daemon is in charge until `margin` from now at the least.
    pub fn in_charge(&self, margin: Millis) -> Option<Term> {
        let published = self.shared.published.load();
        let leader_lease = published
            .leader_lease
            .filter(|c| c.covers(clock::boot_now(), margin));
        leader_lease.map(|c| c.term)
    }

    /// Returns the leader, as far as known.
    pub fn leader(&self) -> Option<DaemonId> {
        self.shared.published.load().leader.clone()
    }

    /// Describes the replica.
    pub fn status(&self) -> Status {
        self.shared.node.lock().status(clock::boot_now())
    }

    /// Returns how far a revision has reached, if this daemon leads.
    pub fn propagation(&self, revision: Revision) -> Option<Propagation> {
        self.shared
            .node
            .lock()
            .propagation(revision, clock::boot_now())
    }

    /// Runs `read` on a table; nothing if the table is not linked.
    pub fn read<T, R, F>(&self, read: F) -> Option<R>
    where
        T: Table,
        F: FnOnce(&T) -> R,
    {
        self.shared.node.lock().tables().table::<T>().map(read)
    }

    /// Runs `read` on a table unless the replica waits for a stalled disk; nothing then, or if the
    /// table is not linked.
    pub fn try_read<T, R, F>(&self, read: F) -> Option<R>
    where
        T: Table,
        F: FnOnce(&T) -> R,
    {
        let looked = self
            .shared
            .node
            .try_read(|node| node.tables().table::<T>().map(read));
        looked.flatten()
    }

    /// Runs `read` on all tables.
    pub fn read_all<R, F>(&self, read: F) -> R
    where
        F: FnOnce(&TableSet) -> R,
    {
        read(self.shared.node.lock().tables())
    }
}

struct Worker {
    shared: Arc<Shared>,
    queue: Receiver<NodeEvent>,
    outgoing: Sender<Outgoing>,
}

impl Worker {
    fn run(self) {
        while let Some(events) = self.next_batch() {
            if !self.step(events) {
                return;
            }
        }
    }

    /// Waits for events for at most one tick; a tick is always part of the batch.
    fn next_batch(&self) -> Option<Vec<NodeEvent>> {
        let mut events = vec![NodeEvent::Tick];
        match async_std::task::block_on(timeout(TICK, self.queue.recv())) {
            Ok(Ok(event)) => events.push(event),
            Ok(Err(_)) => return None,
            Err(_) => return Some(events),
        }
        while events.len() < BATCH {
            match self.queue.try_recv() {
                Ok(event) => events.push(event),
                Err(_) => break,
            }
        }
        Some(events)
    }

    /// Returns false once the storage has failed; the daemon goes on without its replica.
    fn step(&self, events: Vec<NodeEvent>) -> bool {
        let mut actions = Vec::new();
        let stepped = {
            let mut node = self.shared.node.lock();
            let now = clock::boot_now();
            let stepped = node.step(now, clock::wall_now(), events, &mut actions);
            // Before any message leaves, so that a resignation is known here first.
            self.shared.published.store(Arc::new(Published {
                leader: node.leader().cloned(),
                leader_lease: node.leader_lease(now),
            }));
            stepped
        };
        if let Err(error) = stepped {
            event!(Event::StorageFailed, error = error);
            return false;
        }
        for action in actions {
            self.carry_out(action);
        }
        true
    }

    fn carry_out(&self, action: NodeAction) {
        match action {
            NodeAction::Send { to, message } => {
                // The channel is unbounded and its reader lives as long as the process.
                let _closed = self.outgoing.try_send(Outgoing { to, message });
            }
            NodeAction::Answer { ticket, result } => {
                let mut waiting = self.shared.waiting.lock().expect("no holder panics");
                if let Some(sender) = waiting.proposals.remove(&ticket) {
                    let _gone = sender.send(result);
                }
            }
            NodeAction::Changed { ticket, result } => {
                let mut waiting = self.shared.waiting.lock().expect("no holder panics");
                if let Some(sender) = waiting.changes.remove(&ticket) {
                    let _gone = sender.send(result);
                }
            }
            NodeAction::Lead { term } => event!(Event::LeaderElected, term = term),
            NodeAction::Follow => event!(Event::LeaderLost),
            NodeAction::Applied { .. } => (),
        }
    }
}
