//! Sends a request and reads the head of its answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_types::Method;
use http_types::Request;

use crate::http::client::error::Cause;
use crate::http::client::error::SendError;
use crate::http::client::exchange::Exchange;
use crate::http::client::exchange::Origin;
use crate::http::client::pool::Pool;
use crate::http::head::REQUEST_ID;
use crate::http::head::check_response;
use crate::http::wire::MAX_HEAD;
use crate::http::wire::Wire;
use crate::socket;
use crate::step_timer::Late;
use crate::step_timer::Progress;

/// Path asked for by probes; any answer shows that the peer is alive.
const PROBE_PATH: &str = "/healthz";

/// Settings of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct ClientOptions {
    /// Time for making a connection.
    pub connect_time: Duration,
    /// Time for a probe on a fresh connection.
    pub probe_time: Duration,
    /// Idle connections kept for each address.
    pub idle_limit: usize,
    /// Time an idle connection is kept.
    pub idle_time: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_secs(1),
            probe_time: Duration::from_secs(1),
            idle_limit: 64,
            idle_time: Duration::from_secs(20),
        }
    }
}

/// How one request is sent.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Time by which the answer must be whole.
    pub deadline: Instant,
    /// Longest time in which nothing moves before the connection counts as silent.
    pub progress: Duration,
    /// Whether the request may run more than once. Only then is it sent a second time, when a
    /// kept connection turns out to be closed.
    pub idempotent: bool,
}

/// A pooled HTTP client; copies share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
    options: ClientOptions,
}

/// A request in its bytes.
struct Encoded {
    bytes: Vec<u8>,
    id: Option<String>,
    bodiless: bool,
}

impl Client {
    /// Makes a client with an empty pool.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pool: Arc::new(Pool::new(options.idle_limit, options.idle_time)),
            options,
        }
    }

    /// Sends `request` and waits for the head of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        options: &SendOptions,
    ) -> Result<Exchange, SendError> {
        let encoded = encode(request).await.map_err(SendError::NotSent)?;
        let mut former = None;
        if let Some(stream) = self.pool.take(address) {
            match self.attempt(address, stream, &encoded, options).await {
                Err(error) if may_resend(&error, options) => former = Some(error),
                done => return done,
            }
        }
        let stream = match (self.connect(address, options).await, former) {
            (Ok(stream), _) => stream,
            // The kept connection may have carried the request before it closed.
            (Err(_), Some(SendError::Unknown(cause))) => return Err(SendError::Unknown(cause)),
            (Err(error), _) => return Err(error),
        };
        self.attempt(address, stream, &encoded, options).await
    }

    /// Tells whether `address` answers on a fresh connection, whatever the status.
    pub async fn probe(&self, address: SocketAddr) -> bool {
        let answered = async {
            let mut stream = TcpStream::connect(address).await?;
            let ask = format!("GET {PROBE_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n");
            stream.write_all(ask.as_bytes()).await?;
            Wire::new(stream).head(MAX_HEAD).await
        };
        let answered = timeout(self.options.probe_time, answered).await;
        matches!(answered, Ok(Ok(Some(head))) if check_response(&head, false).is_ok())
    }

    /// Drops every idle connection to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.pool.purge(address);
    }

    /// Counts the idle connections to `address`.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.pool.count(address)
    }

    async fn connect(
        &self,
        address: SocketAddr,
        options: &SendOptions,
    ) -> Result<TcpStream, SendError> {
        let left = options.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(SendError::NotSent(Cause::Deadline));
        }
        let limit = left.min(self.options.connect_time);
        let failed = |error: String| SendError::NotSent(Cause::Connect(error));
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_late| failed("timeout".to_owned()))?
            .map_err(|error| failed(error.to_string()))?;
        socket::tune(&stream).map_err(|error| failed(error.to_string()))?;
        Ok(stream)
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        mut stream: TcpStream,
        encoded: &Encoded,
        options: &SendOptions,
    ) -> Result<Exchange, SendError> {
        // The process may have been suspended since the last look at the clock.
        if Instant::now() >= options.deadline {
            return Err(SendError::NotSent(Cause::Deadline));
        }
        let mut progress = Progress::start(options.progress, options.deadline);
        write(&mut stream, &encoded.bytes, &mut progress).await?;
        let origin = Origin {
            client: self.clone(),
            address,
        };
        match self.read_head(stream, encoded, origin, progress).await {
            Ok(exchange) => Ok(exchange),
            Err(Cause::Silent { .. }) => {
                let alive = self.replace(address).await;
                Err(SendError::Unknown(Cause::Silent { alive }))
            }
            Err(cause) => Err(SendError::Unknown(cause)),
        }
    }

    async fn read_head(
        &self,
        stream: TcpStream,
        encoded: &Encoded,
        origin: Origin,
        mut progress: Progress,
    ) -> Result<Exchange, Cause> {
        let mut wire = Wire::new(stream);
        let head = progress.step(wire.head(MAX_HEAD)).await.map_err(late)?;
        let head = head
            .map_err(|error| Cause::Closed(error.to_string()))?
            .ok_or_else(|| Cause::Closed("closed before the answer's head".to_owned()))?;
        let checked = check_response(&head, encoded.bodiless)?;
        check_id(encoded.id.as_deref(), checked.id.as_deref())?;
        Exchange::open(wire, head, checked, origin, progress).await
    }

    /// Replaces the kept connections to `address` after one has gone quiet, if a fresh one works.
    pub(super) async fn replace(&self, address: SocketAddr) -> bool {
        let alive = self.probe(address).await;
        if alive {
            self.forget(address);
        }
        alive
    }

    pub(super) fn keep(&self, address: SocketAddr, stream: TcpStream) {
        self.pool.put(address, stream);
    }
}

/// Turns a passed limit into its cause; the caller finds out whether the upstream is alive.
pub(super) fn late(late: Late) -> Cause {
    match late {
        Late::Quiet => Cause::Silent { alive: false },
        Late::Deadline => Cause::Deadline,
    }
}

fn may_resend(error: &SendError, options: &SendOptions) -> bool {
    match error {
        SendError::NotSent(cause) => *cause != Cause::Deadline,
        SendError::Unknown(Cause::Closed(_)) => options.idempotent,
        SendError::Unknown(_) => false,
    }
}

fn check_id(sent: Option<&str>, got: Option<&str>) -> Result<(), Cause> {
    match (sent, got) {
        (Some(sent), Some(got)) if sent != got => Err(Cause::Crossed {
            sent: sent.to_owned(),
            got: got.to_owned(),
        }),
        _ => Ok(()),
    }
}

async fn encode(request: Request) -> Result<Encoded, Cause> {
    let id = request.header(REQUEST_ID).map(|v| v.as_str().to_owned());
    let bodiless = request.method() == Method::Head;
    let mut bytes = Vec::new();
    let mut encoder = async_h1::client::Encoder::new(request);
    let read = encoder.read_to_end(&mut bytes).await;
    read.map_err(|error| Cause::Request(error.to_string()))?;
    Ok(Encoded {
        bytes,
        id,
        bodiless,
    })
}

/// Writes a whole request. Only a failure before the first byte is `NotSent`.
async fn write(
    stream: &mut TcpStream,
    bytes: &[u8],
    progress: &mut Progress,
) -> Result<(), SendError> {
    let mut sent = 0;
    while sent < bytes.len() {
        let outcome = progress.step(stream.write(&bytes[sent..])).await;
        let cause = match outcome {
            Ok(Ok(0)) => Cause::Closed("no more bytes taken".to_owned()),
            Ok(Ok(count)) => {
                sent += count;
                continue;
            }
            Ok(Err(error)) => closed(&error),
            Err(passed) => late(passed),
        };
        return Err(if sent == 0 {
            SendError::NotSent(cause)
        } else {
            SendError::Unknown(cause)
        });
    }
    Ok(())
}

fn closed(error: &io::Error) -> Cause {
    Cause::Closed(error.to_string())
}
