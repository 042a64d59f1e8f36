//! Steps of a scripted answer, and whole answers to bend.

use std::time::Duration;

/// One step of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes bytes as they are.
    Write(Vec<u8>),
    /// Writes bytes one at a time with a pause after each.
    Trickle(Vec<u8>, Duration),
    /// Waits.
    Pause(Duration),
    /// Says nothing more but keeps the connection open.
    Hang,
    /// Closes the connection in an orderly way.
    Close,
    /// Resets the connection.
    Reset,
}

/// Makes a whole counted answer that declares `length` body bytes, true or not.
pub fn counted(length: usize, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Makes a whole counted answer to the request `id`.
pub fn with_id(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {id}\r\n\r\n{body}")
        .into_bytes()
}

/// Makes a chunked answer of `pieces`; `last` is what follows them, `0\r\n\r\n` in a whole one.
pub fn chunked(pieces: &[&str], last: &str) -> Vec<u8> {
    let frame = |piece: &&str| format!("{:x}\r\n{piece}\r\n", piece.len());
    let body: Vec<String> = pieces.iter().map(frame).collect();
    let body = body.concat();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}{last}").into_bytes()
}
