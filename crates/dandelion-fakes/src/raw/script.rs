//! Steps of a scripted response, and raw HTTP responses to use in them.

use std::time::Duration;

/// One step of a response script.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes bytes unchanged.
    Write(Vec<u8>),
    /// Writes bytes one at a time with a pause after each.
    Trickle(Vec<u8>, Duration),
    /// Writes bytes again and again until the peer closes the connection.
    Repeat(Vec<u8>),
    /// Sleeps.
    Pause(Duration),
    /// Sends nothing more but keeps the connection open until the peer closes it.
    Hang,
    /// Closes the connection gracefully.
    Close,
    /// Resets the connection (TCP RST).
    Reset,
}

/// Builds a response with `Content-Length: length`, whether or not that is the body's length.
pub fn with_length(length: usize, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Builds a response with the correct `Content-Length` and `X-Request-Id: id`.
pub fn with_id(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {id}\r\n\r\n{body}")
        .into_bytes()
}

/// Builds a chunked response of `pieces` followed by `last`; `0\r\n\r\n` completes it.
pub fn chunked(pieces: &[&str], last: &str) -> Vec<u8> {
    let frame = |piece: &&str| format!("{:x}\r\n{piece}\r\n", piece.len());
    let body: Vec<String> = pieces.iter().map(frame).collect();
    let body = body.concat();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}{last}").into_bytes()
}
