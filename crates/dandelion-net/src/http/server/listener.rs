//! Accepts connections and counts the open ones.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use futures::FutureExt;
use futures::select_biased;
use http_types::Request;
use http_types::Response;

use crate::http::memory::ClientMemory;
use crate::http::memory::ConnectionLimits;
use crate::http::server::connection::Connection;
use crate::signal::Signal;
use crate::signal::Trigger;
use crate::socket;

/// Pause after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Most connections that get a refusal at the same time; more are closed without one, so that they
/// use up no descriptors.
const MAX_REFUSING: usize = 32;
/// Memory that clients of a server with an account of its own may use.
const DEFAULT_MEMORY: usize = 256 * 1024 * 1024;

/// Answers the requests that a server receives.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request from `peer`. The future is dropped as soon as the caller disconnects, as
    /// is the answer's body while it is being sent.
    fn handle(&self, request: Request, peer: SocketAddr) -> impl Future<Output = Response> + Send;
}

/// Limits on what callers can make the server hold or wait for.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most open connections; further callers are refused.
    pub connections: usize,
    /// Longest request head in bytes, at most 8191.
    pub head_bytes: usize,
    /// Time for receiving a complete request head, from its first byte.
    pub head_time: Duration,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Lowest rate of an arriving body in bytes per second, over each window, while at least half of
    /// the memory or of the connections is used.
    pub body_rate: u64,
    /// Window of the lowest rate.
    pub body_window: Duration,
    /// Memory that clients may use, unless the server shares an account.
    pub memory_bytes: usize,
    /// Time after which a connection without a request is closed.
    pub idle_time: Duration,
    /// Time an idle connection stays open for one more request once a drain has begun.
    pub drain_idle: Duration,
    /// Time in which the caller must accept the next bytes of its answer, or its connection is
    /// reset.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_bytes: crate::http::wire::MAX_HEAD,
            head_time: Duration::from_secs(10),
            body_bytes: 8 * 1024 * 1024,
            body_rate: 1024,
            body_window: Duration::from_secs(10),
            memory_bytes: DEFAULT_MEMORY,
            idle_time: Duration::from_mins(1),
            drain_idle: Duration::from_secs(1),
            write_time: Duration::from_secs(30),
        }
    }
}

/// State that all connections of a server share. The server has ended once every copy is dropped.
#[derive(Debug, Clone)]
pub(super) struct Shared {
    pub limits: Arc<Limits>,
    pub memory: ClientMemory,
    pub drain: Signal,
    pub abort: Signal,
    _alive: async_channel::Sender<Infallible>,
}

/// A running server. Dropping it stops the server immediately and resets its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    drain: Trigger,
    stop: Trigger,
    abort: Trigger,
    ended: async_channel::Receiver<Infallible>,
}

impl Server {
    /// Listens on `address`, with an account of its own; port 0 selects a free port.
    pub async fn bind<H>(address: SocketAddr, limits: Limits, handler: H) -> io::Result<Self>
    where
        H: Handler,
    {
        let connections = ConnectionLimits {
            total: limits.connections,
            per_peer: 0,
        };
        let memory = ClientMemory::new(limits.memory_bytes, connections);
        Self::bind_shared(address, limits, memory, handler).await
    }

    /// Listens on `address`, with an account that other servers share.
    pub async fn bind_shared<H>(
        address: SocketAddr,
        limits: Limits,
        memory: ClientMemory,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Handler,
    {
        let listener = socket::listen(address).await?;
        let address = listener.local_addr()?;
        let (drain, drain_signal) = Signal::new();
        let (stop, stop_signal) = Signal::new();
        let (abort, abort_signal) = Signal::new();
        let (alive, ended) = async_channel::bounded(1);
        let shared = Shared {
            limits: Arc::new(limits),
            memory,
            drain: drain_signal,
            abort: abort_signal,
            _alive: alive,
        };
        task::spawn(accept(listener, stop_signal, shared, handler));
        Ok(Self {
            address,
            drain,
            stop,
            abort,
            ended,
        })
    }

    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Begins to drain: every answer closes its connection, and idle connections are closed after
    /// [`Limits::drain_idle`]. New connections are still accepted.
    pub fn begin_drain(&self) {
        self.drain.raise();
    }

    /// Stops accepting connections, waits up to `grace` for the open ones to finish and resets the
    /// rest. Returns how many connections were reset.
    pub async fn shutdown(self, grace: Duration) -> usize {
        self.drain.raise();
        self.stop.raise();
        if timeout(grace, self.ended.recv()).await.is_ok() {
            return 0;
        }
        let remaining = self.ended.sender_count();
        self.abort.raise();
        let _ended = timeout(grace, self.ended.recv()).await;
        remaining
    }
}

async fn accept<H>(listener: TcpListener, stop: Signal, shared: Shared, handler: H)
where
    H: Handler,
{
    let refusing = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = select_biased! {
            () = stop.raised().fuse() => return,
            accepted = listener.accept().fuse() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Err(error) = socket::set_options(&stream) {
                    log::debug!("connection from {peer} closed before it was set up: {error}");
                    continue;
                }
                let open = shared.memory.connect(peer.ip());
                if let Err(reason) = &open {
                    log::warn!("refused a connection from {peer}: too many ({reason})");
                    if refusing.load(Ordering::Relaxed) >= MAX_REFUSING {
                        continue;
                    }
                }
                let open = open.ok();
                let is_refused = open.is_none();
                let connection =
                    Connection::new(stream, peer, shared.clone(), handler.clone(), open);
                if is_refused {
                    refusing.fetch_add(1, Ordering::Relaxed);
                    let refusing = Arc::clone(&refusing);
                    task::spawn(async move {
                        connection.run_refused().await;
                        refusing.fetch_sub(1, Ordering::Relaxed);
                    });
                } else {
                    task::spawn(connection.run());
                }
            }
            Err(error) => {
                log::warn!("cannot accept connections ({error}); raise the open files limit");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
