//! Plain HTTP/1.1 over blocking sockets, enough for sound callers and for upstreams that break the
//! protocol on purpose.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest head that is read, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, given by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the first line names none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a counted or chunked body, or none if the peer closed before its first
/// byte. `bodiless` is set for the answer to a HEAD request.
pub fn read_message(stream: &mut TcpStream, bodiless: bool) -> io::Result<Option<Message>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte)? {
            0 if head.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => head.push(byte[0]),
        }
        if head.len() > MAX_HEAD {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if bodiless {
        return Ok(Some(message));
    }
    let length = message.header("content-length");
    if let Some(length) = length.and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        while let Some(piece) = read_chunk(stream)? {
            message.body.extend_from_slice(&piece);
        }
    }
    Ok(Some(message))
}

fn read_chunk(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&line);
    let size = usize::from_str_radix(text.trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut piece = vec![0; size + 2];
    stream.read_exact(&mut piece)?;
    piece.truncate(size);
    Ok((size > 0).then_some(piece))
}

/// Encodes a request.
pub fn request(method: &str, target: &str, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes an answer with a counted body.
pub fn answer(status: u16, headers: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection whose reads and writes end after `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends one request on a new connection and returns the complete answer.
pub fn call(
    address: SocketAddr,
    request: &[u8],
    bodiless: bool,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, limit)?;
    send(&mut stream, request, bodiless)
}

/// Sends one request on an open connection and returns the complete answer.
pub fn send(stream: &mut TcpStream, request: &[u8], bodiless: bool) -> io::Result<Message> {
    stream.write_all(request)?;
    let answer = read_message(stream, bodiless)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
