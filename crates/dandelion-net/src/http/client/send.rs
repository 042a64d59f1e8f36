//! Sends a request and reads the head of its answer.

use std::io;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_types::Body;
use http_types::Method;
use http_types::Request;

use crate::http::client::error::Cause;
use crate::http::client::error::SendError;
use crate::http::client::exchange::Exchange;
use crate::http::client::exchange::Origin;
use crate::http::client::links;
use crate::http::client::peer::AnyPeer;
use crate::http::client::peer::Peer;
use crate::http::client::pool::Carried;
use crate::http::client::pool::Channel;
use crate::http::client::pool::IdleTimes;
use crate::http::client::pool::Pool;
use crate::http::head::HeadError;
use crate::http::head::REQUEST_ID;
use crate::http::head::check_response;
use crate::http::raw_target::target;
use crate::http::shared_body::SharedBody;
use crate::http::wire::BufferedConnection;
use crate::http::wire::MAX_HEAD;
use crate::socket;
use crate::step_timer::StepTimeout;
use crate::step_timer::StepTimer;

/// Path requested by probes; any answer shows that the peer is alive.
const PROBE_PATH: &str = "/healthz";

/// Longest answer of a process that is asked who it is, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Settings of a [`Client`].
#[derive(Debug, Clone, Copy)]
pub struct ClientOptions {
    /// Time limit for opening a connection.
    pub connect_time: Duration,
    /// Time limit for a probe, including opening its connection.
    pub probe_time: Duration,
    /// Most idle connections pooled for each address.
    pub idle_limit: usize,
    /// Time after which an idle connection is no longer reused.
    pub idle_time: Duration,
    /// The same for a connection whose other end was asked who it is, which costs a request.
    pub asked_time: Duration,
    /// Header, in lower case, with the id of a request, which upstreams echo in its answer.
    pub id_header: &'static str,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_time: Duration::from_secs(1),
            probe_time: Duration::from_secs(1),
            idle_limit: 64,
            idle_time: Duration::from_secs(20),
            asked_time: Duration::from_secs(20),
            id_header: REQUEST_ID,
        }
    }
}

/// How one request is sent.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Longest time for writing a piece of the request, for receiving the head and for receiving
    /// the next body bytes. After it the connection counts as silent.
    pub progress: Duration,
    /// Whether the request may run more than once. Only then is it sent again when a pooled
    /// connection closes after some of it may have been sent.
    pub idempotent: bool,
    /// Whether a probe may follow if the connection goes silent. Without it nothing but the request
    /// is sent, and idle connections to the address stay.
    pub probe: bool,
}

/// A pooled HTTP client; copies share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Arc<Pool>,
    options: ClientOptions,
}

/// An encoded request.
struct Encoded {
    /// Head and first piece of the body, so that a short request is one write.
    start: Vec<u8>,
    body: SharedBody,
    id: Option<String>,
    bodiless: bool,
}

impl Encoded {
    /// Returns the bytes of the request in their order, piece by piece.
    fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        iter::once(self.start.as_slice()).chain(self.body.pieces().skip(1))
    }
}

impl Client {
    /// Makes a client with an empty pool.
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pool: Arc::new(Pool::new(
                options.idle_limit,
                IdleTimes {
                    any: options.idle_time,
                    asked: options.asked_time,
                },
            )),
            options,
        }
    }

    /// Sends `request` and waits for the head of the answer. A request that failed on a
    /// pooled connection is sent once more on a fresh one if it can't have run, or if the
    /// connection was closed and the request is idempotent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        options: &SendOptions,
    ) -> Result<Exchange, SendError> {
        self.send_if(address, request, options, || true).await
    }

    /// Sends a request like [`Client::send`], if `may_send` still allows it once there is a
    /// connection. It is asked immediately before each write.
    pub async fn send_if<F>(
        &self,
        address: SocketAddr,
        request: Request,
        options: &SendOptions,
        may_send: F,
    ) -> Result<Exchange, SendError>
    where
        F: Fn() -> bool + Sync,
    {
        let sent = self.send_to(address, request, options, &AnyPeer, may_send);
        sent.await
    }

    /// Sends a request like [`Client::send_if`], to no other process than `peer`. A fresh connection
    /// is asked first who is at its other end.
    pub async fn send_to<P, F>(
        &self,
        address: SocketAddr,
        request: Request,
        options: &SendOptions,
        peer: &P,
        may_send: F,
    ) -> Result<Exchange, SendError>
    where
        P: Peer + Sync,
        F: Fn() -> bool + Sync,
    {
        let encoded = self.encode(request).await.map_err(SendError::NotSent)?;
        let mut first_error = None;
        let id = encoded.id.as_deref();
        if let Some(channel) = self.pool.acquire(address, peer.key(), id) {
            let attempt = self.attempt(address, channel, &encoded, options, &may_send);
            match attempt.await {
                Err(error) if may_resend(&error, options) => first_error = Some(error),
                done => return done,
            }
        }
        // Boxed: most requests need no fresh connection.
        let connected = Box::pin(self.connect_to(address, options, peer));
        let resent = match connected.await {
            Ok(channel) => {
                let attempt = self.attempt(address, channel, &encoded, options, &may_send);
                attempt.await
            }
            Err(error) => Err(error),
        };
        match (resent, first_error) {
            // The pooled connection may have carried the request before it closed.
            (Err(SendError::NotSent(_)), Some(SendError::Unknown(cause))) => {
                Err(SendError::Unknown(cause))
            }
            (resent, _) => resent,
        }
    }

    /// Returns whether `address` answers on a fresh connection, whatever the status.
    pub async fn probe(&self, address: SocketAddr) -> bool {
        let answered = async {
            let mut stream = links::connect(address).await?;
            let request = format!("GET {PROBE_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n");
            stream.write_all(request.as_bytes()).await?;
            BufferedConnection::new(stream).head(MAX_HEAD).await
        };
        let answered = timeout(self.options.probe_time, answered).await;
        let id_header = self.options.id_header;
        matches!(answered, Ok(Ok(Some(head))) if check_response(&head, false, id_header).is_ok())
    }

    /// Returns whether `address` accepts a new connection. A process that has ended, or whose VM
    /// can't be reached, does not.
    pub async fn accepts(&self, address: SocketAddr) -> bool {
        let connected = timeout(self.options.connect_time, links::connect(address)).await;
        matches!(connected, Ok(Ok(_)))
    }

    /// Drops every idle connection to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
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
        let remaining = options.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(SendError::NotSent(Cause::Deadline));
        }
        let limit = remaining.min(self.options.connect_time);
        let failed = |error: String| SendError::NotSent(Cause::Connect(error));
        let connected = timeout(limit, links::connect(address)).await;
        let stream = connected
            .map_err(|_late| failed("timeout".to_owned()))?
            .map_err(|error| failed(error.to_string()))?;
        socket::set_options(&stream).map_err(|error| failed(error.to_string()))?;
        Ok(stream)
    }

    /// Opens a connection and asks who is at its other end, if that matters.
    async fn connect_to<P>(
        &self,
        address: SocketAddr,
        options: &SendOptions,
        peer: &P,
    ) -> Result<Channel, SendError>
    where
        P: Peer + Sync,
    {
        let stream = self.connect(address, options).await?;
        if let Some(question) = peer.question() {
            let asked = self.ask(address, stream.clone(), question, peer);
            asked.await.map_err(SendError::NotSent)?;
        }
        Ok(Channel {
            stream,
            peer: peer.key(),
            carried: Carried::default(),
        })
    }

    async fn ask<P>(
        &self,
        address: SocketAddr,
        mut stream: TcpStream,
        question: Request,
        peer: &P,
    ) -> Result<(), Cause>
    where
        P: Peer + Sync,
    {
        let encoded = self.encode(question).await?;
        let limit = self.options.connect_time;
        let mut timer = StepTimer::start(limit, Instant::now() + limit);
        let written = write(&mut stream, &encoded, &mut timer).await;
        written.map_err(|error| error.cause().clone())?;
        let origin = Origin {
            client: self.clone(),
            address,
            peer: None,
            carried: Carried::default(),
            pooled: false,
            probe: false,
        };
        let mut answer = self.read_head(stream, &encoded, origin, timer).await?;
        let body = answer.read_all(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| error.cause().clone())?;
        if !answer.is_clean() {
            return Err(Cause::Closed("after the question".to_owned()));
        }
        if !peer.is_answer(answer.status(), &body) {
            return Err(Cause::OtherPeer);
        }
        Ok(())
    }

    async fn attempt<F>(
        &self,
        address: SocketAddr,
        mut channel: Channel,
        encoded: &Encoded,
        options: &SendOptions,
        may_send: &F,
    ) -> Result<Exchange, SendError>
    where
        F: Fn() -> bool + Sync,
    {
        // The process may have been suspended since the deadline was last checked.
        if Instant::now() >= options.deadline {
            return Err(SendError::NotSent(Cause::Deadline));
        }
        if !may_send() {
            self.release(address, channel);
            return Err(SendError::NotSent(Cause::Withheld));
        }
        let mut timer = StepTimer::start(options.progress, options.deadline);
        if let Some(id) = &encoded.id {
            channel.carried.push(id);
        }
        let stream = channel.stream.clone();
        if let Err(elapsed) = timer.step(links::pass()).await {
            return Err(SendError::Unknown(timeout_cause(elapsed)));
        }
        if let Err(error) = write(&mut channel.stream, encoded, &mut timer).await {
            // What has not arrived is dropped instead of arriving after the request was given up.
            socket::reset_on_close(&stream);
            return Err(error);
        }
        let origin = Origin {
            client: self.clone(),
            address,
            peer: channel.peer,
            carried: channel.carried,
            pooled: true,
            probe: options.probe,
        };
        let head = self.read_head(channel.stream, encoded, origin, timer);
        let head = head.await;
        if head.is_err() {
            socket::reset_on_close(&stream);
        }
        match head {
            Ok(exchange) => Ok(exchange),
            Err(Cause::Silent { .. }) if options.probe => {
                let alive = self.probe_and_purge(address).await;
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
        mut timer: StepTimer,
    ) -> Result<Exchange, Cause> {
        let mut conn = BufferedConnection::new(stream);
        let head = timer
            .step(conn.head(MAX_HEAD))
            .await
            .map_err(timeout_cause)?;
        let head = head
            .map_err(|error| head_cause(&error))?
            .ok_or_else(|| Cause::Closed("closed before the answer's head".to_owned()))?;
        let checked = check_response(&head, encoded.bodiless, self.options.id_header)?;
        check_id(
            encoded.id.as_deref(),
            checked.id.as_deref(),
            &origin.carried,
        )?;
        Exchange::open(conn, head, checked, origin, timer).await
    }

    /// Probes `address` after a connection went silent and returns whether it is alive. If so,
    /// drops its idle connections, which may be silent as well.
    pub(super) async fn probe_and_purge(&self, address: SocketAddr) -> bool {
        let alive = self.probe(address).await;
        if alive {
            self.close_idle(address);
        }
        alive
    }

    /// Encodes the head; the body stays shared with whoever made the request.
    async fn encode(&self, mut request: Request) -> Result<Encoded, Cause> {
        let invalid = |error: String| Cause::Request(error);
        let id = request.header(self.options.id_header);
        let id = id.map(|v| v.as_str().to_owned());
        let bodiless = request.method() == Method::Head;
        let line = format!("{} {} HTTP/1.1", request.method(), target(&request));
        let body = SharedBody::take(&mut request).await;
        let body = body.map_err(|error| invalid(error.to_string()))?;
        // Stands for the body, so that the encoder writes its length and nothing else.
        request.set_body(Body::from_reader(futures::io::empty(), Some(body.len())));
        let mut start = Vec::new();
        let mut encoder = async_h1::client::Encoder::new(request);
        let read = encoder.read_to_end(&mut start).await;
        read.map_err(|error| invalid(error.to_string()))?;
        // The encoder writes the target as its URL has it.
        let line_end = start.iter().position(|b| *b == b'\r').unwrap_or(0);
        start.splice(..line_end, line.into_bytes());
        start.extend_from_slice(body.pieces().next().unwrap_or_default());
        Ok(Encoded {
            start,
            body,
            id,
            bodiless,
        })
    }

    pub(super) fn release(&self, address: SocketAddr, channel: Channel) {
        self.pool.release(address, channel);
    }
}

/// Converts a timeout to its cause, with `alive` false until the caller has probed the upstream.
pub(super) fn timeout_cause(elapsed: StepTimeout) -> Cause {
    match elapsed {
        StepTimeout::NoProgress => Cause::Silent { alive: false },
        StepTimeout::Deadline => Cause::Deadline,
    }
}

fn may_resend(error: &SendError, options: &SendOptions) -> bool {
    match error {
        SendError::NotSent(cause) => !matches!(cause, Cause::Deadline | Cause::Withheld),
        SendError::Unknown(Cause::Closed(_)) => options.idempotent,
        SendError::Unknown(_) => false,
    }
}

/// Refuses an answer to another request. An upstream that sends no ids is trusted; a request without
/// an id can get the late answer to an earlier one of its connection.
fn check_id(sent: Option<&str>, got: Option<&str>, carried: &Carried) -> Result<(), Cause> {
    let is_own = match (sent, got) {
        (Some(sent), Some(got)) => sent == got,
        (None, Some(got)) => !carried.has(got),
        (_, None) => true,
    };
    if is_own {
        return Ok(());
    }
    Err(Cause::Crossed {
        sent: sent.unwrap_or_default().to_owned(),
        got: got.unwrap_or_default().to_owned(),
    })
}

/// Writes a complete request. Only a failure before the first byte is `NotSent`.
async fn write(
    stream: &mut TcpStream,
    request: &Encoded,
    timer: &mut StepTimer,
) -> Result<(), SendError> {
    let mut has_begun = false;
    for piece in request.pieces() {
        let mut rest = piece;
        while !rest.is_empty() {
            let outcome = timer.step(stream.write(rest)).await;
            let cause = match outcome {
                Ok(Ok(0)) => Cause::Closed("no more bytes taken".to_owned()),
                Ok(Ok(count)) => {
                    has_begun = true;
                    rest = &rest[count..];
                    continue;
                }
                Ok(Err(error)) => closed_cause(&error),
                Err(elapsed) => timeout_cause(elapsed),
            };
            return Err(if has_begun {
                SendError::Unknown(cause)
            } else {
                SendError::NotSent(cause)
            });
        }
    }
    Ok(())
}

/// Distinguishes bytes that are no head from a lost connection, after which an idempotent request is
/// sent again.
fn head_cause(error: &io::Error) -> Cause {
    match error.kind() {
        io::ErrorKind::FileTooLarge => Cause::Head(HeadError::TooLong),
        _ => closed_cause(error),
    }
}

fn closed_cause(error: &io::Error) -> Cause {
    Cause::Closed(error.to_string())
}
