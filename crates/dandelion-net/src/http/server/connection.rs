//! Serves the connection of one caller.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_h1::server::Encoder;
use async_std::net::TcpStream;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::future::Either;
use futures::future::select;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;

use crate::http::memory::Held;
use crate::http::memory::Kind;
use crate::http::memory::OpenConnection;
use crate::http::server::incoming::Incoming;
use crate::http::server::incoming::linger;
use crate::http::server::incoming::next_request;
use crate::http::server::listener::Handler;
use crate::http::server::listener::Shared;
use crate::http::server::reply;
use crate::http::wire::BufferedConnection;
use crate::socket;
use crate::step_timer::StepTimer;

/// Bytes encoded and written at a time.
const WRITE_BYTES: usize = 16 * 1024;
/// `Retry-After` of the refusal when the server has too many connections.
const OVERLOAD_RETRY: Millis = Millis::from_secs(1);
/// Time for reading and discarding what the caller still sends before its connection is closed.
const LINGER: Duration = Duration::from_millis(500);
/// Upper bound on the time for writing one answer; the handler's own deadline is far shorter.
const ANSWER_TIME: Duration = Duration::from_hours(24);

/// A caller's connection and the handler of its requests.
pub(super) struct Connection<H> {
    conn: BufferedConnection,
    peer: SocketAddr,
    shared: Shared,
    handler: H,
    _open: Option<OpenConnection>,
}

impl<H> Connection<H>
where
    H: Handler,
{
    /// Makes a connection, which is counted until it ends; one that will be refused isn't.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        shared: Shared,
        handler: H,
        open: Option<OpenConnection>,
    ) -> Self {
        Self {
            conn: BufferedConnection::new(stream),
            peer,
            shared,
            handler,
            _open: open,
        }
    }

    /// Refuses the caller because there are too many connections.
    pub async fn run_refused(mut self) {
        let message = "this daemon has as many connections as it can hold";
        let remedy = "try again, through another daemon if you can";
        let refusal = Refusal::not_run(RefusalCode::Overloaded, message, remedy);
        let refusal = refusal.with_retry_after(OVERLOAD_RETRY);
        self.refuse(reply::refusal(&refusal)).await;
    }

    /// Serves requests until either side closes.
    pub async fn run(mut self) {
        let abort = self.shared.abort.clone();
        let stream = self.conn.stream.clone();
        match select(pin!(self.serve()), pin!(abort.raised())).await {
            Either::Left(_) => (),
            Either::Right(_) => socket::reset_on_close(&stream),
        }
    }

    async fn serve(&mut self) {
        loop {
            let limits = Arc::clone(&self.shared.limits);
            let memory = self.shared.memory.clone();
            match next_request(&mut self.conn, &limits, &memory, &self.shared.drain).await {
                Incoming::Request(request, keep_alive, held) => {
                    // Boxed, so that an idle connection holds no memory for it.
                    if !Box::pin(self.answer(*request, keep_alive, held)).await {
                        return;
                    }
                }
                Incoming::Refused(status, refusal) => {
                    log::debug!("refused a request from {}: {}", self.peer, refusal.message);
                    let response = reply::refusal_with(status, &refusal);
                    Box::pin(self.refuse(response)).await;
                    return;
                }
                Incoming::Closed => return,
            }
        }
    }

    /// Answers one request; returns false if the connection is to be closed.
    async fn answer(
        &mut self,
        request: Request,
        keep_alive: bool,
        body: Option<Arc<Held>>,
    ) -> bool {
        let memory = self.shared.memory.clone();
        let method = request.method();
        let mut response = {
            let handled = pin!(self.handler.handle(request, self.peer));
            match select(handled, pin!(self.conn.closed(&memory))).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => return false,
            }
        };
        drop(body);
        let held = response.len().filter(|length| *length > WRITE_BYTES);
        let _held = held.map(|length| {
            let held = memory.hold(Kind::Answers);
            // An answer that is ready is delivered, so this is never refused.
            let _granted = held.grow_to(length);
            held
        });
        reply::sanitize_headers(&mut response);
        let keep_alive =
            keep_alive && !self.shared.drain.is_raised() && !closes_connection(&response);
        if !keep_alive {
            response.insert_header(CONNECTION, "close");
        }
        let write_time = self.shared.limits.write_time;
        let stream = self.conn.stream.clone();
        let written = {
            let write = pin!(write(stream.clone(), response, method, write_time));
            match select(write, pin!(self.conn.closed(&memory))).await {
                Either::Left((written, _)) => written,
                Either::Right(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            }
        };
        if let Err(error) = written {
            log::debug!("aborted an answer to {}: {error}", self.peer);
            socket::reset_on_close(&stream);
            return false;
        }
        if !keep_alive {
            self.close().await;
        }
        keep_alive
    }

    async fn refuse(&mut self, mut response: Response) {
        response.insert_header(CONNECTION, "close");
        let stream = self.conn.stream.clone();
        let write_time = self.shared.limits.write_time;
        if write(stream, response, Method::Get, write_time)
            .await
            .is_ok()
        {
            self.close().await;
        }
    }

    /// Shuts down the write side first and reads what the caller still sends: closing a socket with
    /// unread bytes sends a reset, which can destroy the answer before the caller reads it.
    async fn close(&mut self) {
        if self.conn.stream.shutdown(Shutdown::Write).is_ok() {
            linger(&mut self.conn.stream, LINGER).await;
        }
    }
}

fn closes_connection(response: &Response) -> bool {
    let value = response.header(CONNECTION);
    value.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

/// Writes an answer, each piece as soon as it is available.
async fn write(
    mut stream: TcpStream,
    response: Response,
    method: Method,
    write_time: Duration,
) -> io::Result<()> {
    let counted = response.len().is_some();
    let size = response.len().map_or(WRITE_BYTES, |n| n + 1024);
    let mut encoder = Encoder::new(response, method);
    let mut buffer = vec![0; size.clamp(1024, WRITE_BYTES)];
    let mut timer = StepTimer::start(write_time, Instant::now() + ANSWER_TIME);
    loop {
        let mut count = encoder.read(&mut buffer).await?;
        if counted && count > 0 && count < buffer.len() {
            // Send head and body of a short answer in one write.
            count += encoder.read(&mut buffer[count..]).await?;
        }
        if count == 0 {
            return Ok(());
        }
        let written = timer.step(stream.write_all(&buffer[..count])).await;
        written.map_err(io::Error::other)??;
    }
}
