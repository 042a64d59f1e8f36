//! The connection to one peer: dialled when there is something to send, watched, replaced.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::MeshMessage;
use futures::FutureExt;
use futures::pin_mut;
use futures::select_biased;

use crate::mesh::backoff::Backoff;
use crate::mesh::error::MeshError;
use crate::mesh::liveness::Need;
use crate::mesh::liveness::Watch;
use crate::mesh::node::Shared;
use crate::mesh::pending::Pending;
use crate::mesh::pending::Ticket;
use crate::mesh::transport::Connection;
use crate::mesh::transport::Inlet;
use crate::mesh::transport::Outlet;
use crate::mesh::transport::dial;
use crate::signal::Signal;
use crate::signal::Trigger;

/// Messages that may wait for one peer.
const QUEUE_LIMIT: usize = 4096;
/// Messages written before the buffer is flushed at the latest.
const BATCH: usize = 64;

/// A message for the peer. One with a ticket can be withdrawn until it is sent.
#[derive(Debug)]
struct Outbound {
    message: MeshMessage,
    ticket: Option<Arc<Ticket>>,
}

/// The way to one peer. Dropping the last handle closes it.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    pub pending: Pending,
    queue: Sender<Outbound>,
    control: Sender<MeshMessage>,
    numbers: AtomicU64,
    stop: Trigger,
}

impl Link {
    /// Starts the link; nothing is dialled until there is a message.
    pub fn spawn<H>(peer: DaemonId, address: SocketAddr, shared: Arc<Shared<H>>) -> Arc<Self>
    where
        H: Send + Sync + 'static,
    {
        // Bounded by `push`: a bounded channel would take the memory of a full one from the start.
        let (queue, queued) = async_channel::unbounded();
        let (control, controls) = async_channel::unbounded();
        let (stop, stopped) = Signal::new();
        let link = Arc::new(Self {
            address,
            pending: Pending::default(),
            queue,
            control: control.clone(),
            numbers: AtomicU64::new(1),
            stop,
        });
        let worker = Worker {
            peer,
            address,
            shared,
            link: Arc::downgrade(&link),
            queued,
            control,
            controls,
        };
        let ended = Arc::downgrade(&link);
        task::spawn(async move {
            let work = worker.run().fuse();
            pin_mut!(work);
            select_biased! {
                () = stopped.raised().fuse() => (),
                () = work => (),
            }
            if let Some(link) = ended.upgrade() {
                link.pending.clear();
            }
        });
        link
    }

    /// Returns a number for a call or stream.
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a message; false if the queue is full.
    pub fn push(&self, message: MeshMessage, ticket: Option<Arc<Ticket>>) -> bool {
        let room = self.queue.len() < QUEUE_LIMIT;
        room && self.queue.try_send(Outbound { message, ticket }).is_ok()
    }

    /// Grants the peer more bytes of a stream.
    pub fn grant(&self, stream: u64, bytes: u32) {
        self.push_control(MeshMessage::Credit { stream, bytes });
    }

    /// Gives up a stream; the peer is told if it may know of it.
    pub fn cancel(&self, stream: u64, ticket: &Ticket) {
        self.pending.remove(stream);
        if !ticket.withdraw() {
            self.push_control(MeshMessage::Cancel { stream });
        }
    }

    /// Ends the link; whatever waits on it is told.
    pub fn stop(&self) {
        self.stop.raise();
        self.queue.close();
    }

    fn push_control(&self, message: MeshMessage) {
        // A closed channel means that the link has ended, and the peer's side with it.
        let _closed = self.control.try_send(message);
    }
}

/// Why a connection came to its end.
enum Ended {
    Failed(MeshError),
    Idle,
    Replaced(Connection),
}

struct Worker<H> {
    peer: DaemonId,
    address: SocketAddr,
    shared: Arc<Shared<H>>,
    link: std::sync::Weak<Link>,
    queued: Receiver<Outbound>,
    control: Sender<MeshMessage>,
    controls: Receiver<MeshMessage>,
}

impl<H> Worker<H>
where
    H: Send + Sync + 'static,
{
    async fn run(self) {
        let mut backoff = Backoff::default();
        while let Ok(first) = self.queued.recv().await {
            match self.dial().await {
                Ok(connection) => {
                    backoff.reset();
                    self.connected(connection, first).await;
                }
                Err(error) => {
                    log::debug!("cannot reach daemon {}: {error}", self.peer);
                    self.drop_message(&first);
                    let delay = backoff.next(&self.shared.config.timing);
                    self.drop_queued(delay).await;
                }
            }
        }
    }

    async fn dial(&self) -> Result<Connection, MeshError> {
        if self.shared.faults.is_cut(&self.peer) {
            return Err(MeshError::Timeout);
        }
        let shared = &self.shared;
        dial(self.address, &self.peer, &shared.config, &shared.counters).await
    }

    /// Uses connections one after the other until one ends with no successor.
    async fn connected(&self, connection: Connection, first: Outbound) {
        let mut next = Some((connection, Some(first)));
        while let Some((connection, first)) = next.take() {
            while self.controls.try_recv().is_ok() {}
            let ended = self.drive(connection, first).await;
            self.fail_sent();
            match ended {
                Ended::Failed(error) => log::debug!("lost daemon {}: {error}", self.peer),
                Ended::Idle => (),
                Ended::Replaced(fresh) => {
                    log::info!("replaced a silent connection to daemon {}", self.peer);
                    next = Some((fresh, None));
                }
            }
        }
    }

    async fn drive(&self, connection: Connection, first: Option<Outbound>) -> Ended {
        let watch = Watch::new(Instant::now());
        let counters = &self.shared.counters;
        let outlet = Outlet {
            sink: connection.sink,
            counters: Arc::clone(counters),
        };
        let inlet = Inlet {
            source: connection.source,
            counters: Arc::clone(counters),
        };
        let write = self.write(outlet, first, &watch).fuse();
        let read = self.read(inlet, &watch).fuse();
        let guard = self.guard(&watch).fuse();
        pin_mut!(write, read, guard);
        select_biased! {
            error = read => Ended::Failed(error),
            error = write => Ended::Failed(error),
            ended = guard => ended,
        }
    }

    async fn write(
        &self,
        mut outlet: Outlet,
        mut first: Option<Outbound>,
        watch: &Watch,
    ) -> MeshError {
        loop {
            let next = match first.take() {
                Some(item) => Ok(item),
                None => self.next_outbound().await,
            };
            let Ok(item) = next else {
                outlet.close().await;
                return MeshError::Closed;
            };
            if !matches!(item.message, MeshMessage::Ping(_)) {
                watch.used(Instant::now());
            }
            if let Err(error) = self.write_batch(&mut outlet, item).await {
                return error;
            }
        }
    }

    async fn write_batch(&self, outlet: &mut Outlet, first: Outbound) -> Result<(), MeshError> {
        self.feed(outlet, &first).await?;
        for _ in 1..BATCH {
            let Some(item) = self.try_outbound() else {
                break;
            };
            self.feed(outlet, &item).await?;
        }
        outlet.flush().await
    }

    async fn feed(&self, outlet: &mut Outlet, item: &Outbound) -> Result<(), MeshError> {
        let wanted = item.ticket.as_ref().is_none_or(|ticket| ticket.begin());
        if !wanted || self.shared.faults.is_cut(&self.peer) {
            return Ok(());
        }
        match outlet.feed(&item.message).await {
            Err(error @ (MeshError::Codec(_) | MeshError::TooLarge(_))) => {
                log::warn!("dropped a message to daemon {}: {error}", self.peer);
                if let Some(ticket) = &item.ticket {
                    ticket.unsent();
                }
                self.drop_message(item);
                Ok(())
            }
            other => other,
        }
    }

    async fn next_outbound(&self) -> Result<Outbound, async_channel::RecvError> {
        select_biased! {
            message = self.controls.recv().fuse() => message.map(|message| Outbound { message, ticket: None }),
            item = self.queued.recv().fuse() => item,
        }
    }

    fn try_outbound(&self) -> Option<Outbound> {
        let control = self.controls.try_recv().ok();
        control
            .map(|message| Outbound {
                message,
                ticket: None,
            })
            .or_else(|| self.queued.try_recv().ok())
    }

    async fn read(&self, mut inlet: Inlet, watch: &Watch) -> MeshError {
        loop {
            let message = match inlet.next().await {
                Ok(message) => message,
                Err(error) => return error,
            };
            if self.shared.faults.is_cut(&self.peer) {
                continue;
            }
            watch.heard(Instant::now());
            let Some(link) = self.link.upgrade() else {
                return MeshError::Closed;
            };
            match message {
                MeshMessage::Reply { call, body } => link.pending.reply(call, body),
                MeshMessage::Part { stream, part } => link.pending.part(stream, part),
                MeshMessage::Pong(_) => (),
                _ => return MeshError::Protocol("not an answer".to_owned()),
            }
        }
    }

    /// Sends heartbeats and ends the connection when it is idle, or silent while a fresh one works.
    async fn guard(&self, watch: &Watch) -> Ended {
        let timing = &self.shared.config.timing;
        let mut number = 0;
        loop {
            task::sleep(timing.heartbeat / 2).await;
            let busy = self.link.upgrade().is_some_and(|l| !l.pending.is_empty());
            match watch.need(Instant::now(), busy, timing) {
                Need::Nothing => (),
                Need::Heartbeat => {
                    number += 1;
                    let _closed = self.control.try_send(MeshMessage::Ping(number));
                }
                Need::Replacement => {
                    if let Ok(fresh) = self.dial().await {
                        return Ended::Replaced(fresh);
                    }
                }
                Need::End => return Ended::Failed(MeshError::Timeout),
                Need::Close => return Ended::Idle,
            }
        }
    }

    fn fail_sent(&self) {
        if let Some(link) = self.link.upgrade() {
            link.pending.fail_sent();
        }
    }

    /// Gives up a message that was never sent.
    fn drop_message(&self, item: &Outbound) {
        let number = match item.message {
            MeshMessage::Call { call, .. } => call,
            MeshMessage::Serve { stream, .. } => stream,
            _ => return,
        };
        if let Some(link) = self.link.upgrade() {
            link.pending.remove(number);
        }
    }

    /// Gives up what is queued while the peer can't be reached.
    async fn drop_queued(&self, delay: Duration) {
        let drop_all = async {
            while let Ok(item) = self.queued.recv().await {
                self.drop_message(&item);
            }
        };
        let _over = timeout(delay, drop_all).await;
    }
}
