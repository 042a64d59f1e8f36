//! Reads and checks one complete request, or returns the reason why the server refuses it.

use std::io;
use std::pin::pin;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
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
use crate::http::raw_target;
use crate::http::server::listener::Limits;
use crate::http::wire::BufferedConnection;
use crate::http::wire::MAX_HEAD;
use crate::http::wire::MessageReader;
use crate::lock::lock;
use crate::signal::Signal;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Outcome of waiting for a request.
pub enum Incoming {
    /// A complete request, and whether its connection can stay open after the answer.
    Request(Box<Request>, bool),
    /// The server answers with this status and refusal, then closes the connection.
    Refused(u16, Refusal),
    /// The connection is to be closed without an answer.
    Closed,
}

/// Waits for the next request on `conn`.
pub async fn next_request(
    conn: &mut BufferedConnection,
    limits: &Limits,
    drain: &Signal,
) -> Incoming {
    if conn.buffered.is_empty() && !wait_first_byte(conn, limits, drain).await {
        return Incoming::Closed;
    }
    // Boxed, so that an idle connection holds no memory for it.
    Box::pin(read_request(conn, limits)).await
}

async fn read_request(conn: &mut BufferedConnection, limits: &Limits) -> Incoming {
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
    match timeout(limits.body_time, read_body(conn, head, checked, limits)).await {
        Ok(incoming) => incoming,
        Err(_late) => refused(408, "the request body came too slowly", "send it faster"),
    }
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
    };
    let (reader, reader_state) = MessageReader::new(source, head, parser);
    let decoded = decode(reader, limits.body_bytes).await;
    let reader_state = std::mem::replace(&mut *lock(&reader_state), empty_state());
    conn.buffered = reader_state.buffered;
    match decoded {
        Decoded::Complete(mut request) if reader_state.parser.is_done() => {
            if let Some(target) = target {
                raw_target::keep(&mut request, &target);
            }
            Incoming::Request(request, !checked.close)
        }
        Decoded::Complete(_) | Decoded::Closed => Incoming::Closed,
        Decoded::TooLarge => too_large(limits),
        Decoded::Invalid(reason) => refused(400, &reason, "send it as RFC 9112 says"),
    }
}

fn empty_state() -> crate::http::wire::ReaderState {
    crate::http::wire::ReaderState {
        parser: FramingParser::new(Framing::Empty),
        buffered: Vec::new(),
    }
}

enum Decoded {
    Complete(Box<Request>),
    TooLarge,
    Closed,
    Invalid(String),
}

async fn decode(reader: MessageReader, limit: usize) -> Decoded {
    let mut request = match async_h1::server::decode(reader).await {
        Ok(Some((request, _body))) => request,
        Ok(None) => return Decoded::Closed,
        Err(error) => return Decoded::Invalid(error.to_string()),
    };
    if request.len() == Some(0) {
        return Decoded::Complete(Box::new(request));
    }
    let mime = request.content_type();
    let mut bytes = Vec::with_capacity(request.len().unwrap_or(0));
    let body = request.take_body();
    match body.take(limit as u64 + 1).read_to_end(&mut bytes).await {
        Ok(count) if count > limit => return Decoded::TooLarge,
        Ok(_) => (),
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            return Decoded::Invalid(error.to_string());
        }
        Err(_gone) => return Decoded::Closed,
    }
    request.set_body(Body::from_bytes(bytes));
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Decoded::Complete(Box::new(request))
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
