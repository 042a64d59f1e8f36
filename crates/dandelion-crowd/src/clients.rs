//! Clients that leave requests unfinished or answers unread, and keep their connections open.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::limits::BODY_BYTES;
use crate::limits::CLIENTS;

/// Time after which a client that can't write stops writing. The daemon may leave bytes unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an ordinary client gives up, so that a daemon that hangs fails the test.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);
/// Data bytes of a large chunk.
const LARGE_CHUNK: usize = 64 * 1024;
/// Data bytes of a body in one-byte chunks, each of which takes six bytes on the wire.
const BYTE_CHUNKS: usize = 192 * 1024;
/// Bytes written at a time by clients that write piece by piece.
const PIECE: usize = 4096;
/// Pipelined requests of a client, whose answers exceed what the system's buffers hold.
const PIPELINED: usize = 4096;

/// Number of clients, and size of the bodies that are not in one-byte chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Connections of the crowd.
    pub clients: usize,
    /// Size of a body, of which the last byte is missing.
    pub body_bytes: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            clients: CLIENTS,
            body_bytes: BODY_BYTES,
        }
    }
}

/// What each client of a crowd does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Crowd {
    /// Sends a counted body except its last byte.
    Counted,
    /// Sends a body in large chunks except its last byte.
    Chunked,
    /// Sends a body in chunks of one byte except its last byte.
    ByteChunks,
    /// Sends a counted body in small pieces except its last byte, all clients in turn.
    Pieces,
    /// Sends many requests at once and reads no answer.
    Pipelined,
    /// Each client does another of these.
    Mixed,
}

impl Crowd {
    /// Connects all clients, lets each send its bytes, and returns the open connections.
    pub fn gather(self, address: SocketAddr, path: &str, size: Size) -> io::Result<Vec<TcpStream>> {
        let mut streams = Vec::new();
        for _ in 0..size.clients {
            let stream = TcpStream::connect(address)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
            streams.push(stream);
        }
        if self == Self::Pieces {
            send_in_turn(&streams, size.body_bytes);
            return Ok(streams);
        }
        thread::scope(|scope| {
            for (index, stream) in streams.iter().enumerate() {
                // The daemon may refuse or close such a connection at any time.
                scope.spawn(move || self.member(index).send(stream, path, size.body_bytes));
            }
        });
        Ok(streams)
    }

    fn member(self, index: usize) -> Self {
        let each = [
            Self::Counted,
            Self::Chunked,
            Self::ByteChunks,
            Self::Pipelined,
        ];
        match self {
            Self::Mixed => each[index % each.len()],
            other => other,
        }
    }

    fn send(self, stream: &TcpStream, path: &str, body_bytes: usize) -> io::Result<()> {
        let mut stream = stream;
        let bytes = match self {
            Self::Chunked => chunked(body_bytes, LARGE_CHUNK),
            Self::ByteChunks => chunked(BYTE_CHUNKS, 1),
            Self::Pipelined => {
                let request = format!("GET {path} HTTP/1.1\r\nHost: crowd\r\n\r\n");
                request.repeat(PIPELINED).into_bytes()
            }
            Self::Counted | Self::Pieces | Self::Mixed => counted(body_bytes),
        };
        stream.write_all(&bytes)
    }
}

/// Returns a request with a counted body of which the last byte is missing.
fn counted(size: usize) -> Vec<u8> {
    let head = format!("POST /crowd HTTP/1.1\r\nHost: crowd\r\nContent-Length: {size}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + size - 1, b'x');
    bytes
}

/// Returns a request with a chunked body of which the last byte is missing.
fn chunked(size: usize, chunk: usize) -> Vec<u8> {
    let head = "POST /crowd HTTP/1.1\r\nHost: crowd\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut bytes = head.as_bytes().to_vec();
    for _ in 0..size / chunk {
        bytes.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + chunk, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    // Removes the line end and the last byte of the last chunk.
    bytes.truncate(bytes.len() - 3);
    bytes
}

fn send_in_turn(streams: &[TcpStream], body_bytes: usize) {
    let bytes = counted(body_bytes);
    let mut open: Vec<&TcpStream> = streams.iter().collect();
    for piece in bytes.chunks(PIECE) {
        open.retain_mut(|stream| stream.write_all(piece).is_ok());
    }
}

/// Sends one ordinary request of a short body and returns the status of its answer.
pub fn ordinary_request(address: SocketAddr, method: &str, path: &str) -> anyhow::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let body = "x".repeat(1024);
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: ordinary\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).unwrap_or_default();
    status
        .parse()
        .map_err(|error| anyhow::anyhow!("no status in {text:?}: {error}"))
}
