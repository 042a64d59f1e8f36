//! The mesh of one daemon.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServeRequest;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::AbortHandle;
use futures::future::Abortable;
use futures::select_biased;

use crate::mesh::config::MeshConfig;
use crate::mesh::counters::Counters;
use crate::mesh::counters::Family;
use crate::mesh::counters::Traffic;
use crate::mesh::error::CallError;
use crate::mesh::error::MeshError;
use crate::mesh::fault::Faults;
use crate::mesh::handler::MeshHandler;
use crate::mesh::link::Link;
use crate::mesh::parts::PartSender;
use crate::mesh::parts::ServeStream;
use crate::mesh::parts::Source;
use crate::mesh::parts::Target;
use crate::mesh::pending::Ticket;
use crate::mesh::pending::Waiter;
use crate::mesh::session::Session;
use crate::mesh::transport::accept;
use crate::signal::Signal;
use crate::signal::Trigger;
use crate::socket;

/// Most parts queued in a stream to the daemon itself.
const LOCAL_PARTS: usize = 64;
/// Most messages queued to the daemon itself.
const LOCAL_MESSAGES: usize = 4096;
/// Most handshakes in progress at once; further connections are closed.
const MAX_HANDSHAKES: usize = 256;
const NOT_POISONED: &str = "no holder of this lock panics";
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// State that all connections of a node share.
#[derive(Debug)]
pub struct Shared<H> {
    pub config: MeshConfig,
    pub handler: H,
    pub counters: Arc<Counters>,
    pub faults: Faults,
    pub handshakes: AtomicUsize,
}

#[derive(Debug)]
struct Node<H> {
    shared: Arc<Shared<H>>,
    address: SocketAddr,
    peers: RwLock<HashMap<DaemonId, Arc<Link>>>,
    local: Sender<MeshMessage>,
    stop: Trigger,
}

/// A running mesh node; copies are handles to the same node. It stops when the last one is dropped
/// or by [`Mesh::shutdown`].
#[derive(Debug)]
pub struct Mesh<H> {
    node: Arc<Node<H>>,
}

impl<H> Clone for Mesh<H> {
    fn clone(&self) -> Self {
        Self {
            node: Arc::clone(&self.node),
        }
    }
}

impl<H> Node<H> {
    fn shut_down(&self) {
        self.stop.raise();
        self.local.close();
        let mut peers = self.peers.write().expect(NOT_POISONED);
        for (_, link) in peers.drain() {
            link.stop();
        }
    }
}

impl<H> Drop for Node<H> {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl<H> Mesh<H>
where
    H: MeshHandler,
{
    /// Listens for peers and returns the running node.
    pub async fn bind(mut config: MeshConfig, handler: H) -> Result<Self, MeshError> {
        let listener = socket::listen(config.listen).await?;
        let address = listener.local_addr()?;
        if config.listen.port() == 0 {
            config.hello.address = address.to_string();
        }
        let shared = Arc::new(Shared {
            config,
            handler,
            counters: Arc::new(Counters::default()),
            faults: Faults::default(),
            handshakes: AtomicUsize::new(0),
        });
        let (stop, stopped) = Signal::new();
        let (local, messages) = async_channel::bounded(LOCAL_MESSAGES);
        task::spawn(deliver(messages, Arc::clone(&shared)));
        task::spawn(listen(listener, Arc::clone(&shared), stopped));
        Ok(Self {
            node: Arc::new(Node {
                shared,
                address,
                peers: RwLock::default(),
                local,
                stop,
            }),
        })
    }

    /// Closes every connection and stops listening, also while other handles exist, such as one in
    /// the handler itself.
    pub fn shutdown(&self) {
        self.node.shut_down();
    }

    /// Returns the address that the node listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.node.address
    }

    /// Returns this daemon's identity.
    pub fn id(&self) -> &DaemonId {
        &self.node.shared.config.hello.daemon
    }

    /// Adds a peer, or closes the connection to it and uses the new address if it changed.
    pub fn set_peer(&self, peer: &DaemonId, address: SocketAddr) {
        let mut peers = self.node.peers.write().expect(NOT_POISONED);
        if peers.get(peer).is_some_and(|link| link.address == address) {
            return;
        }
        let link = Link::spawn(peer.clone(), address, Arc::clone(&self.node.shared));
        if let Some(former) = peers.insert(peer.clone(), link) {
            former.stop();
        }
    }

    /// Removes a peer and closes the connection to it.
    pub fn remove_peer(&self, peer: &DaemonId) {
        let mut peers = self.node.peers.write().expect(NOT_POISONED);
        if let Some(link) = peers.remove(peer) {
            link.stop();
        }
    }

    /// Queues a one-way message. It is lost if the peer can't be reached.
    pub fn send(&self, peer: &DaemonId, message: MeshMessage) -> Result<(), MeshError> {
        if peer == self.id() {
            let queued = self.node.local.try_send(message);
            return queued.map_err(|_full| MeshError::Full(peer.clone()));
        }
        let link = self
            .link(peer)
            .ok_or_else(|| MeshError::NoPeer(peer.clone()))?;
        let queued = link.push(message, None);
        queued
            .then_some(())
            .ok_or_else(|| MeshError::Full(peer.clone()))
    }

    /// Calls a peer and waits at most `limit` for its reply.
    pub async fn call(
        &self,
        peer: &DaemonId,
        body: CallBody,
        limit: Duration,
    ) -> Result<ReplyBody, CallError> {
        if peer == self.id() {
            let shared = &self.node.shared;
            let reply = shared.handler.on_call(peer, body);
            return timeout(limit, reply)
                .await
                .map_err(|_late| CallError::Unknown);
        }
        let link = self.link(peer).ok_or(CallError::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        let ticket = Arc::new(Ticket::default());
        let number = link.allocate_number();
        let shared_ticket = Arc::clone(&ticket);
        link.pending
            .insert(number, shared_ticket, Waiter::Call(sender));
        let call = MeshMessage::Call { call: number, body };
        if !link.push(call, Some(Arc::clone(&ticket))) {
            link.pending.remove(number);
            return Err(CallError::NotSent);
        }
        let reply = timeout(limit, receiver).await;
        link.pending.remove(number);
        match reply {
            Ok(Ok(body)) => Ok(body),
            _ => Err(ticket.give_up()),
        }
    }

    /// Queues a request to a peer and returns the stream of its answer. Dropping the stream cancels
    /// the request.
    pub fn serve(&self, peer: &DaemonId, request: ServeRequest) -> Result<ServeStream, CallError> {
        if peer == self.id() {
            return Ok(self.serve_local(request));
        }
        let link = self.link(peer).ok_or(CallError::NotSent)?;
        let (sender, parts) = async_channel::unbounded();
        let ticket = Arc::new(Ticket::default());
        let number = link.allocate_number();
        let shared_ticket = Arc::clone(&ticket);
        link.pending
            .insert(number, shared_ticket, Waiter::Stream(sender));
        let serve = MeshMessage::Serve {
            stream: number,
            request,
        };
        if !link.push(serve, Some(Arc::clone(&ticket))) {
            link.pending.remove(number);
            return Err(CallError::NotSent);
        }
        Ok(ServeStream::new(
            Source::Link { link, number },
            parts,
            ticket,
        ))
    }

    /// Returns the traffic of one family since the node was started.
    pub fn traffic(&self, family: Family) -> Traffic {
        self.node.shared.counters.read(family)
    }

    /// Drops all traffic with `peer`, or lets it pass again. For tests of partitions.
    pub fn set_isolated(&self, peer: &DaemonId, isolated: bool) {
        self.node.shared.faults.set_isolated(peer, isolated);
    }

    fn link(&self, peer: &DaemonId) -> Option<Arc<Link>> {
        if let Some(link) = self.existing_link(peer) {
            return Some(link);
        }
        let port = self.node.shared.config.name_port?;
        let ip: IpAddr = peer.as_str().parse().ok()?;
        self.set_peer(peer, SocketAddr::new(ip, port));
        self.existing_link(peer)
    }

    fn existing_link(&self, peer: &DaemonId) -> Option<Arc<Link>> {
        let peers = self.node.peers.read().expect(NOT_POISONED);
        peers.get(peer).cloned()
    }

    fn serve_local(&self, request: ServeRequest) -> ServeStream {
        let (sender, parts) = async_channel::bounded(LOCAL_PARTS);
        let ticket = Arc::new(Ticket::default());
        // The request may run as soon as it is spawned, so a failure leaves its outcome unknown.
        ticket.mark_sent();
        let (abort, registration) = AbortHandle::new_pair();
        let shared = Arc::clone(&self.node.shared);
        let work = async move {
            let from = &shared.config.hello.daemon;
            let mut parts = PartSender::new(Target::Local(sender));
            shared.handler.on_serve(from, request, &mut parts).await;
            parts.ensure_end().await;
        };
        task::spawn(Abortable::new(work, registration));
        ServeStream::new(Source::Local(abort), parts, ticket)
    }
}

/// Passes the messages that the daemon sends to itself to its handler, in order.
async fn deliver<H>(messages: Receiver<MeshMessage>, shared: Arc<Shared<H>>)
where
    H: MeshHandler,
{
    let from = &shared.config.hello.daemon;
    while let Ok(message) = messages.recv().await {
        shared.handler.on_message(from, message);
    }
}

async fn listen<H>(listener: TcpListener, shared: Arc<Shared<H>>, stopped: Signal)
where
    H: MeshHandler,
{
    loop {
        let accepted = select_biased! {
            () = stopped.raised().fuse() => return,
            accepted = listener.accept().fuse() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let shared = Arc::clone(&shared);
                task::spawn(serve_connection(stream, address, shared, stopped.clone()));
            }
            Err(error) => {
                log::warn!("mesh cannot accept connections ({error}); raise the open files limit");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H>(
    stream: TcpStream,
    address: SocketAddr,
    shared: Arc<Shared<H>>,
    stopped: Signal,
) where
    H: MeshHandler,
{
    let in_progress = shared.handshakes.fetch_add(1, Ordering::AcqRel);
    let accepted = if in_progress < MAX_HANDSHAKES {
        accept(stream, &shared.config, &shared.counters).await
    } else {
        Err(MeshError::Busy)
    };
    shared.handshakes.fetch_sub(1, Ordering::AcqRel);
    let connection = match accepted {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("refused a mesh connection from {address}: {error}");
            return;
        }
    };
    if shared.faults.is_isolated(&connection.peer.daemon) {
        return;
    }
    let peer = connection.peer.daemon.clone();
    select_biased! {
        () = stopped.raised().fuse() => (),
        error = Box::pin(Session::run(shared, connection)).fuse() => {
            log::debug!("mesh session of daemon {peer} ended: {error}");
        }
    }
}
