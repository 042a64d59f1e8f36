//! One caller's connection.

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

use crate::http::server::incoming::Intake;
use crate::http::server::incoming::linger;
use crate::http::server::incoming::next_request;
use crate::http::server::listener::Handler;
use crate::http::server::listener::Shared;
use crate::http::server::reply;
use crate::http::wire::Wire;
use crate::socket;
use crate::step_timer::Progress;

/// Bytes encoded and written at a time.
const WRITE_BYTES: usize = 16 * 1024;
/// When a caller that found too many connections is told to come back.
const COME_BACK: Millis = Millis::from_secs(1);
/// Time in which the rest of a refused request is read and thrown away.
const LINGER: Duration = Duration::from_millis(500);
/// Bound on one answer; the handler's own deadline comes long before.
const ANSWER_TIME: Duration = Duration::from_hours(24);

/// A caller's connection with its handler.
pub(super) struct Connection<H> {
    wire: Wire,
    peer: SocketAddr,
    shared: Shared,
    handler: H,
}

impl<H> Connection<H>
where
    H: Handler,
{
    pub fn new(stream: TcpStream, peer: SocketAddr, shared: Shared, handler: H) -> Self {
        Self {
            wire: Wire::new(stream),
            peer,
            shared,
            handler,
        }
    }

    /// Refuses the caller because there are too many connections.
    pub async fn run_refused(mut self) {
        let message = "this daemon has as many connections as it can hold";
        let remedy = "try again, through another daemon if you can";
        let refusal = Refusal::not_run(RefusalCode::Overloaded, message, remedy);
        let refusal = refusal.with_retry_after(COME_BACK);
        self.refuse(reply::refusal(&refusal)).await;
    }

    /// Serves requests until either side closes.
    pub async fn run(mut self) {
        let cut = self.shared.cut.clone();
        let stream = self.wire.stream.clone();
        match select(pin!(self.serve()), pin!(cut.raised())).await {
            Either::Left(_) => (),
            Either::Right(_) => socket::reset_on_close(&stream),
        }
    }

    async fn serve(&mut self) {
        loop {
            let limits = Arc::clone(&self.shared.limits);
            match next_request(&mut self.wire, &limits, &self.shared.drain).await {
                Intake::Request(request, keep) => {
                    // Boxed, so that an idle connection does not hold room for it.
                    if !Box::pin(self.answer(*request, keep)).await {
                        return;
                    }
                }
                Intake::Refused(status, refusal) => {
                    log::debug!("refused a request from {}: {}", self.peer, refusal.message);
                    let response = reply::refusal_with(status, &refusal);
                    Box::pin(self.refuse(response)).await;
                    return;
                }
                Intake::Closed => return,
            }
        }
    }

    /// Answers one request; false if the connection is to be closed.
    async fn answer(&mut self, request: Request, keep: bool) -> bool {
        let method = request.method();
        let mut response = {
            let handled = pin!(self.handler.handle(request, self.peer));
            match select(handled, pin!(self.wire.closed())).await {
                Either::Left((response, _)) => response,
                Either::Right(_) => return false,
            }
        };
        reply::seal(&mut response);
        let keep = keep && !self.shared.drain.is_raised() && !asks_close(&response);
        if !keep {
            response.insert_header(CONNECTION, "close");
        }
        let write_time = self.shared.limits.write_time;
        let stream = self.wire.stream.clone();
        let written = {
            let write = pin!(write(stream.clone(), response, method, write_time));
            match select(write, pin!(self.wire.closed())).await {
                Either::Left((written, _)) => written,
                Either::Right(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            }
        };
        if let Err(error) = written {
            log::debug!("broke off an answer to {}: {error}", self.peer);
            socket::reset_on_close(&stream);
            return false;
        }
        if !keep {
            self.close().await;
        }
        keep
    }

    async fn refuse(&mut self, mut response: Response) {
        response.insert_header(CONNECTION, "close");
        let stream = self.wire.stream.clone();
        let write_time = self.shared.limits.write_time;
        if write(stream, response, Method::Get, write_time)
            .await
            .is_ok()
        {
            self.close().await;
        }
    }

    /// Ends our side first and reads what is left, so that the answer isn't lost to a reset.
    async fn close(&mut self) {
        if self.wire.stream.shutdown(Shutdown::Write).is_ok() {
            linger(&mut self.wire.stream, LINGER).await;
        }
    }
}

fn asks_close(response: &Response) -> bool {
    let value = response.header(CONNECTION);
    value.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

/// Writes an answer, each piece as soon as it is there.
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
    let mut progress = Progress::start(write_time, Instant::now() + ANSWER_TIME);
    loop {
        let mut count = encoder.read(&mut buffer).await?;
        if counted && count > 0 && count < buffer.len() {
            // Head and body of a short answer leave in one write.
            count += encoder.read(&mut buffer[count..]).await?;
        }
        if count == 0 {
            return Ok(());
        }
        let written = progress.step(stream.write_all(&buffer[..count])).await;
        written.map_err(io::Error::other)??;
    }
}
