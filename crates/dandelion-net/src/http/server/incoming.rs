//! Reads and checks one complete request, or returns the reason why the server refuses it.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::FutureExt;
use futures::select_biased;
use http_types::Body;
use http_types::Request;

use crate::http::framing::FramingParser;
use crate::http::head::Framing;
use crate::http::head::RequestHead;
use crate::http::head::check_request;
use crate::http::memory::BodyShare;
use crate::http::memory::ClientMemory;
use crate::http::memory::Held;
use crate::http::raw_target;
use crate::http::server::listener::Limits;
use crate::http::wire::BufferedConnection;
use crate::http::wire::MAX_HEAD;
use crate::http::wire::MessageReader;
use crate::lock::lock;
use crate::signal::Signal;

/// Bytes of a body that are read at a time.
const READ_BYTES: usize = 8 * 1024;
/// Checks of a body's rate in each window while nothing arrives.
const RATE_CHECKS: u32 = 4;
/// `Retry-After` of the refusal when the account is full.
const MEMORY_RETRY: Millis = Millis::from_secs(1);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Outcome of waiting for a request.
pub enum Incoming {
    /// A complete request, and whether its connection can stay open after the answer.
    /// The last part counts its body in the account.
    Request(Box<Request>, bool, Option<Arc<Held>>),
    /// The server answers with this status and refusal, then closes the connection.
    Refused(u16, Refusal),
    /// The connection is to be closed without an answer.
    Closed,
}

/// Waits for the next request on `conn`.
pub async fn next_request(
    conn: &mut BufferedConnection,
    limits: &Limits,
    memory: &ClientMemory,
    drain: &Signal,
) -> Incoming {
    if conn.buffered.is_empty() && !wait_first_byte(conn, limits, drain).await {
        return Incoming::Closed;
    }
    // Boxed, so that an idle connection holds no memory for it.
    Box::pin(read_request(conn, limits, memory)).await
}

async fn read_request(
    conn: &mut BufferedConnection,
    limits: &Limits,
    memory: &ClientMemory,
) -> Incoming {
    let limit = limits.head_bytes.min(MAX_HEAD);
    let head = match timeout(limits.head_time, conn.head(limit)).await {
        Ok(Ok(Some(head))) if head.len() <= limit => head,
        Ok(Err(error)) if error.kind() != io::ErrorKind::FileTooLarge => return Incoming::Closed,
        Ok(Ok(None)) => return Incoming::Closed,
        Ok(_) => return refused(431, "the request head is too long", "send fewer headers"),
        Err(_late) => return refused(408, "the request head came too slowly", "send it at once"),
    };
    let checked = match check_request(&head) {
        Ok(checked) => checked,
        Err(error) => return refused(400, &error.to_string(), "send it as RFC 9112 says"),
    };
    read_body(conn, head, checked, limits, memory).await
}

/// Waits for the first byte of a request; returns false if the connection is to be closed instead.
async fn wait_first_byte(conn: &mut BufferedConnection, limits: &Limits, drain: &Signal) -> bool {
    let idle = limits.idle_time;
    let drained = async {
        drain.raised().await;
        async_std::task::sleep(limits.drain_idle).await;
    };
    select_biased! {
        readable = timeout(idle, conn.readable()).fuse() => readable.is_ok(),
        () = pin!(drained.fuse()) => false,
    }
}

async fn read_body(
    conn: &mut BufferedConnection,
    head: Vec<u8>,
    checked: RequestHead,
    limits: &Limits,
    memory: &ClientMemory,
) -> Incoming {
    if matches!(checked.framing, Framing::Counted(size) if size > limits.body_bytes as u64) {
        return too_large(limits);
    }
    if checked.expects_continue && checked.framing != Framing::Empty && conn.buffered.is_empty() {
        let Ok(()) = conn.stream.write_all(CONTINUE).await else {
            return Incoming::Closed;
        };
    }
    let target = raw_target::of_head(&head).map(str::to_owned);
    let parser = FramingParser::new(checked.framing);
    let source = BufferedConnection {
        stream: conn.stream.clone(),
        buffered: std::mem::take(&mut conn.buffered),
        pipelined: None,
    };
    let (reader, reader_state) = MessageReader::new(source, head, parser);
    let decoded = decode(reader, limits, memory).await;
    let reader_state = std::mem::replace(&mut *lock(&reader_state), empty_state());
    conn.buffered = reader_state.buffered;
    match decoded {
        Decoded::Complete(mut request, share) if reader_state.parser.is_done() => {
            if let Some(target) = target {
                raw_target::keep(&mut request, &target);
            }
            Incoming::Request(request, !checked.close, share)
        }
        Decoded::Complete(..) | Decoded::Closed => Incoming::Closed,
        Decoded::TooSlow(received) => {
            log_refusal(conn, memory, "slow_body", received);
            refused(408, "the request body came too slowly", "send it faster")
        }
        Decoded::NoMemory(received) => {
            log_refusal(conn, memory, "memory", received);
            no_memory()
        }
        Decoded::TooLarge => too_large(limits),
        Decoded::Invalid(reason) => refused(400, &reason, "send it as RFC 9112 says"),
    }
}

/// Counts and logs the refusal of a body of which this many bytes had come.
fn log_refusal(
    conn: &BufferedConnection,
    memory: &ClientMemory,
    reason: &'static str,
    held: usize,
) {
    memory.count_refusal(reason);
    if let Ok(peer) = conn.stream.peer_addr() {
        log::warn!("refused a body from {peer} ({reason}); {held} bytes of it were held");
    }
}

fn empty_state() -> crate::http::wire::ReaderState {
    crate::http::wire::ReaderState {
        parser: FramingParser::new(Framing::Empty),
        buffered: Vec::new(),
    }
}

enum Decoded {
    Complete(Box<Request>, Option<Arc<Held>>),
    /// Came too slowly; the number of bytes that had come.
    TooSlow(usize),
    /// Found no room; the number of bytes that had come.
    NoMemory(usize),
    TooLarge,
    Closed,
    Invalid(String),
}

async fn decode(reader: MessageReader, limits: &Limits, memory: &ClientMemory) -> Decoded {
    let mut request = match async_h1::server::decode(reader).await {
        Ok(Some((request, _body))) => request,
        Ok(None) => return Decoded::Closed,
        Err(error) => return Decoded::Invalid(error.to_string()),
    };
    if request.len() == Some(0) {
        return Decoded::Complete(Box::new(request), None);
    }
    let mime = request.content_type();
    let window = Millis(limits.body_window.as_millis() as u64);
    let share = memory.body(request.len().unwrap_or(limits.body_bytes), window);
    let mut body = request.take_body();
    let mut piece = vec![0; READ_BYTES];
    let mut received = 0;
    loop {
        let count = match read_piece(&mut body, &mut piece, &share, limits, memory).await {
            Piece::Read(Ok(0)) => break,
            Piece::Read(Ok(count)) => count,
            Piece::Read(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                return Decoded::Invalid(error.to_string());
            }
            Piece::Read(Err(_gone)) => return Decoded::Closed,
            Piece::Dropped => return Decoded::NoMemory(received),
            Piece::TooSlow => return Decoded::TooSlow(received),
        };
        received += count;
        if received > limits.body_bytes {
            return Decoded::TooLarge;
        }
        if share.push(&piece[..count]).is_err() {
            return Decoded::NoMemory(received);
        }
    }
    let Ok(shared) = share.take() else {
        return Decoded::NoMemory(received);
    };
    let held = shared.held();
    shared.attach(&mut request);
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Decoded::Complete(Box::new(request), held)
}

/// Outcome of waiting for the next bytes of a body.
enum Piece {
    Read(io::Result<usize>),
    /// The account has dropped what had come.
    Dropped,
    /// The body came too slowly while clients use much of the memory or of the connections.
    TooSlow,
}

async fn read_piece(
    body: &mut Body,
    piece: &mut [u8],
    share: &BodyShare,
    limits: &Limits,
    memory: &ClientMemory,
) -> Piece {
    let mut read = pin!(body.read(piece).fuse());
    let mut dropped = pin!(share.dropped().fuse());
    loop {
        // Checked before each read as well: single bytes may come more often than the timer ends.
        if share.is_slow(limits.body_rate) && memory.is_pressed() {
            return Piece::TooSlow;
        }
        let tick = async_std::task::sleep(limits.body_window / RATE_CHECKS);
        select_biased! {
            read = read => return Piece::Read(read),
            () = dropped => return Piece::Dropped,
            () = pin!(tick.fuse()) => (),
        }
    }
}

fn no_memory() -> Incoming {
    let message = "this daemon holds as many bytes of requests as it can";
    let remedy = "try again, through another daemon if you can";
    let refusal = Refusal::not_run(RefusalCode::Overloaded, message, remedy);
    Incoming::Refused(503, refusal.with_retry_after(MEMORY_RETRY))
}

fn too_large(limits: &Limits) -> Incoming {
    let message = format!(
        "the request body is longer than {} bytes",
        limits.body_bytes
    );
    refused(413, &message, "send a shorter body")
}

fn refused(status: u16, message: &str, remedy: &str) -> Incoming {
    let refusal = Refusal::not_run(RefusalCode::BadRequest, message, remedy);
    Incoming::Refused(status, refusal)
}

/// Reads and discards bytes for at most `span`, so that closing the connection with unread bytes
/// doesn't reset it and destroy the answer.
pub async fn linger(stream: &mut TcpStream, span: Duration) {
    let mut bytes = vec![0; 4096];
    let drained = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
    let _late = timeout(span, drained).await;
}
