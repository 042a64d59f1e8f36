//! The connection to one peer: dialled when there is something to send, monitored, and replaced
//! when it goes silent.

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
use crate::mesh::byte_limit::ByteLimit;
use crate::mesh::byte_limit::HeldBytes;
use crate::mesh::error::MeshError;
use crate::mesh::liveness::Action;
use crate::mesh::liveness::Liveness;
use crate::mesh::node::Shared;
use crate::mesh::pending::Pending;
use crate::mesh::pending::Ticket;
use crate::mesh::transport::Connection;
use crate::mesh::transport::FrameReader;
use crate::mesh::transport::FrameWriter;
use crate::mesh::transport::dial;
use crate::signal::Signal;
use crate::signal::Trigger;

/// Most messages queued for one peer.
const QUEUE_LIMIT: usize = 4096;
/// Most bytes of feed messages queued for one peer. The start of 3,000 upstreams is pushed in less than
/// 2 MB; a daemon that misses a push gets the change or an image with a later grant.
const QUEUE_BYTES: usize = 8 * 1024 * 1024;
/// Most messages written between two flushes.
const BATCH: usize = 64;

/// A message for the peer. One with a ticket can be withdrawn until it is sent.
#[derive(Debug)]
struct Outbound {
    message: MeshMessage,
    ticket: Option<Arc<Ticket>>,
    /// Share of the queue's bytes; none for messages that do not count.
    _held: Option<HeldBytes>,
}

/// Queue and connection to one peer. Dropping the last handle closes them.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    pub pending: Pending,
    queue: Sender<Outbound>,
    queue_bytes: ByteLimit,
    control: Sender<MeshMessage>,
    next_number: AtomicU64,
    stop: Trigger,
}

impl Link {
    /// Starts the link; nothing is dialled until there is a message.
    pub fn spawn<H>(peer: DaemonId, address: SocketAddr, shared: Arc<Shared<H>>) -> Arc<Self>
    where
        H: Send + Sync + 'static,
    {
        // Bounded by `push`: a bounded channel would allocate its full capacity from the start.
        let (queue, queued) = async_channel::unbounded();
        let (control, controls) = async_channel::unbounded();
        let (stop, stopped) = Signal::new();
        let link = Arc::new(Self {
            address,
            pending: Pending::default(),
            queue,
            queue_bytes: ByteLimit::new(QUEUE_BYTES),
            control: control.clone(),
            next_number: AtomicU64::new(1),
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

    /// Returns a new number for a call or stream.
    pub fn allocate_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a message; false if the queue is full.
    pub fn push(&self, message: MeshMessage, ticket: Option<Arc<Ticket>>) -> bool {
        if self.queue.len() >= QUEUE_LIMIT {
            return false;
        }
        let bytes = feed_bytes(&message);
        let held = match bytes {
            0 => None,
            _ => self.queue_bytes.take(bytes),
        };
        if bytes > 0 && held.is_none() {
            return false;
        }
        let item = Outbound {
            message,
            ticket,
            _held: held,
        };
        self.queue.try_send(item).is_ok()
    }

    /// Grants the peer more bytes of a stream.
    pub fn grant(&self, stream: u64, bytes: u32) {
        self.push_control(MeshMessage::Credit { stream, bytes });
    }

    /// Cancels a stream; notifies the peer if the request may have been sent.
    pub fn cancel(&self, stream: u64, ticket: &Ticket) {
        self.pending.remove(stream);
        if !ticket.withdraw() {
            self.push_control(MeshMessage::Cancel { stream });
        }
    }

    /// Ends the link and fails everything that waits on it.
    pub fn stop(&self) {
        self.stop.raise();
        self.queue.close();
    }

    fn push_control(&self, message: MeshMessage) {
        // A closed channel means that the link has ended, and the peer's side with it.
        let _closed = self.control.try_send(message);
    }
}

/// Returns the length of a feed message; zero for other messages, whose senders bound them.
fn feed_bytes(message: &MeshMessage) -> usize {
    match message {
        MeshMessage::Feed(bytes) => bytes.len(),
        _ => 0,
    }
}

/// Why a connection ended.
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
        if self.shared.faults.is_isolated(&self.peer) {
            return Err(MeshError::Timeout);
        }
        let shared = &self.shared;
        dial(self.address, &self.peer, &shared.config, &shared.counters).await
    }

    /// Runs a connection and then its replacements, until one ends without a replacement.
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
        let liveness = Liveness::new(Instant::now());
        let counters = &self.shared.counters;
        let writer = FrameWriter {
            sink: connection.sink,
            counters: Arc::clone(counters),
        };
        let reader = FrameReader {
            source: connection.source,
            counters: Arc::clone(counters),
        };
        let write = self.write(writer, first, &liveness).fuse();
        let read = self.read(reader, &liveness).fuse();
        let monitor = self.monitor(&liveness).fuse();
        pin_mut!(write, read, monitor);
        select_biased! {
            error = read => Ended::Failed(error),
            error = write => Ended::Failed(error),
            ended = monitor => ended,
        }
    }

    async fn write(
        &self,
        mut writer: FrameWriter,
        mut first: Option<Outbound>,
        liveness: &Liveness,
    ) -> MeshError {
        loop {
            let next = match first.take() {
                Some(item) => Ok(item),
                None => self.next_outbound().await,
            };
            let Ok(item) = next else {
                writer.close().await;
                return MeshError::Closed;
            };
            if !matches!(item.message, MeshMessage::Ping(_)) {
                liveness.record_sent(Instant::now());
            }
            if let Err(error) = self.write_batch(&mut writer, item).await {
                return error;
            }
        }
    }

    async fn write_batch(
        &self,
        writer: &mut FrameWriter,
        first: Outbound,
    ) -> Result<(), MeshError> {
        self.feed(writer, &first).await?;
        for _ in 1..BATCH {
            let Some(item) = self.try_outbound() else {
                break;
            };
            self.feed(writer, &item).await?;
        }
        writer.flush().await
    }

    async fn feed(&self, writer: &mut FrameWriter, item: &Outbound) -> Result<(), MeshError> {
        let sendable = item.ticket.as_ref().is_none_or(|ticket| ticket.mark_sent());
        if !sendable || self.shared.faults.is_isolated(&self.peer) {
            return Ok(());
        }
        match writer.feed(&item.message).await {
            Err(error @ (MeshError::Codec(_) | MeshError::TooLarge(_))) => {
                log::warn!("dropped a message to daemon {}: {error}", self.peer);
                if let Some(ticket) = &item.ticket {
                    ticket.mark_unsent();
                }
                self.drop_message(item);
                Ok(())
            }
            other => other,
        }
    }

    async fn next_outbound(&self) -> Result<Outbound, async_channel::RecvError> {
        select_biased! {
            message = self.controls.recv().fuse() => message.map(|message| Outbound { message, ticket: None, _held: None }),
            item = self.queued.recv().fuse() => item,
        }
    }

    fn try_outbound(&self) -> Option<Outbound> {
        let control = self.controls.try_recv().ok();
        control
            .map(|message| Outbound {
                message,
                ticket: None,
                _held: None,
            })
            .or_else(|| self.queued.try_recv().ok())
    }

    async fn read(&self, mut reader: FrameReader, liveness: &Liveness) -> MeshError {
        loop {
            let message = match reader.next().await {
                Ok(message) => message,
                Err(error) => return error,
            };
            if self.shared.faults.is_isolated(&self.peer) {
                continue;
            }
            liveness.record_received(Instant::now());
            let Some(link) = self.link.upgrade() else {
                return MeshError::Closed;
            };
            match message {
                MeshMessage::Reply { call, body } => link.pending.deliver_reply(call, body),
                MeshMessage::Part { stream, part } => link.pending.deliver_part(stream, part),
                MeshMessage::Pong(_) => (),
                _ => return MeshError::Protocol("not an answer".to_owned()),
            }
        }
    }

    /// Sends heartbeats, and returns when the connection is idle or dead, or when it is silent
    /// while a fresh one works.
    async fn monitor(&self, liveness: &Liveness) -> Ended {
        let timing = &self.shared.config.timing;
        let mut number = 0;
        loop {
            task::sleep(timing.heartbeat / 2).await;
            let busy = self.link.upgrade().is_some_and(|l| !l.pending.is_empty());
            match liveness.next_action(Instant::now(), busy, timing) {
                Action::Nothing => (),
                Action::Heartbeat => {
                    number += 1;
                    let _closed = self.control.try_send(MeshMessage::Ping(number));
                }
                Action::Replace => {
                    if let Ok(fresh) = self.dial().await {
                        return Ended::Replaced(fresh);
                    }
                }
                Action::GiveUp => return Ended::Failed(MeshError::Timeout),
                Action::Close => return Ended::Idle,
            }
        }
    }

    fn fail_sent(&self) {
        if let Some(link) = self.link.upgrade() {
            link.pending.fail_sent();
        }
    }

    /// Fails the call or stream of a message that was never sent.
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

    /// Drops what is queued during `delay`, while the peer can't be reached.
    async fn drop_queued(&self, delay: Duration) {
        let drop_all = async {
            while let Ok(item) = self.queued.recv().await {
                self.drop_message(&item);
            }
        };
        let _over = timeout(delay, drop_all).await;
    }
}
