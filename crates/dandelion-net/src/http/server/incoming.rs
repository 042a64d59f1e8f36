//! Reads one request whole and checked, or the reason why the server refuses it.

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

use crate::http::framing::Meter;
use crate::http::head::Framing;
use crate::http::head::RequestHead;
use crate::http::head::check_request;
use crate::http::server::listener::Limits;
use crate::http::wire::MAX_HEAD;
use crate::http::wire::MessageReader;
use crate::http::wire::Wire;
use crate::lock::lock;
use crate::signal::Signal;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What came of waiting for a request.
pub enum Intake {
    /// A whole request and whether its connection can be kept.
    Request(Box<Request>, bool),
    /// The server refuses with this status and closes.
    Refused(u16, Refusal),
    /// There is nothing to answer; close.
    Closed,
}

/// Waits for the next request on `wire`.
pub async fn next_request(wire: &mut Wire, limits: &Limits, drain: &Signal) -> Intake {
    if wire.unread.is_empty() && !first_byte(wire, limits, drain).await {
        return Intake::Closed;
    }
    // Boxed, so that an idle connection does not hold room for it.
    Box::pin(read_request(wire, limits)).await
}

async fn read_request(wire: &mut Wire, limits: &Limits) -> Intake {
    let limit = limits.head_bytes.min(MAX_HEAD);
    let head = match timeout(limits.head_time, wire.head(limit)).await {
        Ok(Ok(Some(head))) if head.len() <= limit => head,
        Ok(Err(error)) if error.kind() != io::ErrorKind::FileTooLarge => return Intake::Closed,
        Ok(Ok(None)) => return Intake::Closed,
        Ok(_) => return refused(431, "the request head is too long", "send fewer headers"),
        Err(_late) => return refused(408, "the request head came too slowly", "send it at once"),
    };
    let checked = match check_request(&head) {
        Ok(checked) => checked,
        Err(error) => return refused(400, &error.to_string(), "send it as RFC 9112 says"),
    };
    match timeout(limits.body_time, read_body(wire, head, checked, limits)).await {
        Ok(intake) => intake,
        Err(_late) => refused(408, "the request body came too slowly", "send it faster"),
    }
}

/// Waits for the first byte of a request; false if the connection is to be closed instead.
async fn first_byte(wire: &mut Wire, limits: &Limits, drain: &Signal) -> bool {
    let idle = limits.idle_time;
    let drained = async {
        drain.raised().await;
        async_std::task::sleep(limits.drain_idle).await;
    };
    select_biased! {
        readable = timeout(idle, wire.readable()).fuse() => readable.is_ok(),
        () = pin!(drained.fuse()) => false,
    }
}

async fn read_body(
    wire: &mut Wire,
    head: Vec<u8>,
    checked: RequestHead,
    limits: &Limits,
) -> Intake {
    if matches!(checked.framing, Framing::Counted(size) if size > limits.body_bytes as u64) {
        return too_large(limits);
    }
    if checked.expects && checked.framing != Framing::Empty && wire.unread.is_empty() {
        let Ok(()) = wire.stream.write_all(CONTINUE).await else {
            return Intake::Closed;
        };
    }
    let meter = Meter::new(checked.framing);
    let taken = Wire {
        stream: wire.stream.clone(),
        unread: std::mem::take(&mut wire.unread),
    };
    let (reader, track) = MessageReader::new(taken, head, meter);
    let decoded = decode(reader, limits.body_bytes).await;
    let track = std::mem::replace(&mut *lock(&track), empty_track());
    wire.unread = track.unread;
    match decoded {
        Decoded::Whole(request) if track.meter.is_done() => {
            Intake::Request(request, !checked.close)
        }
        Decoded::Whole(_) | Decoded::Closed => Intake::Closed,
        Decoded::TooLarge => too_large(limits),
        Decoded::Invalid(reason) => refused(400, &reason, "send it as RFC 9112 says"),
    }
}

fn empty_track() -> crate::http::wire::Track {
    crate::http::wire::Track {
        meter: Meter::new(Framing::Empty),
        unread: Vec::new(),
    }
}

enum Decoded {
    Whole(Box<Request>),
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
        return Decoded::Whole(Box::new(request));
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
    Decoded::Whole(Box::new(request))
}

fn too_large(limits: &Limits) -> Intake {
    let message = format!(
        "the request body is longer than {} bytes",
        limits.body_bytes
    );
    refused(413, &message, "send a shorter body")
}

fn refused(status: u16, message: &str, remedy: &str) -> Intake {
    let refusal = Refusal::not_run(RefusalCode::BadRequest, message, remedy);
    Intake::Refused(status, refusal)
}

/// Keeps reading for a short while, so that a refusal isn't lost to a reset by unread bytes.
pub async fn linger(stream: &mut TcpStream, span: Duration) {
    let mut bytes = vec![0; 4096];
    let drained = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
    let _late = timeout(span, drained).await;
}
