//! One connection with its unread bytes, and a reader that hands out exactly one message of it.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use async_std::net::TcpStream;
use futures::AsyncRead;
use futures::AsyncWrite;

use crate::http::framing::Meter;
use crate::lock::lock;

/// Longest head, in bytes; `async-h1` refuses longer ones.
pub const MAX_HEAD: usize = 8 * 1024 - 1;
/// Bytes read at a time while a head is awaited.
const READ_BYTES: usize = 4096;
/// Most bytes taken in ahead of their turn while an answer is under way.
const AHEAD_BYTES: usize = 64 * 1024;

/// A connection and the bytes that were read from it but not used yet.
#[derive(Debug)]
pub struct Wire {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Reads once and returns the number of bytes; 0 means that the peer closed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context)).await
    }

    /// Reads into the end of `unread`, which holds only what came whenever this returns.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let former = self.unread.len();
        self.unread.resize(former + READ_BYTES, 0);
        let space = &mut self.unread[former..];
        let read = Pin::new(&mut self.stream).poll_read(context, space);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.unread.truncate(former + count);
        read
    }

    /// Waits until there is something to read, holding no buffer meanwhile.
    pub async fn readable(&mut self) {
        self.unread = Vec::new();
        // Whatever peeking finds, reading finds too.
        let _found = self.stream.peek(&mut [0]).await;
    }

    /// Reads up to and with the next empty line. `None` means that the peer closed before it.
    pub async fn head(&mut self, limit: usize) -> io::Result<Option<Vec<u8>>> {
        let mut seen = 0;
        loop {
            if let Some(end) = head_end(&self.unread, seen) {
                let rest = self.unread.split_off(end);
                return Ok(Some(std::mem::replace(&mut self.unread, rest)));
            }
            if self.unread.len() > limit {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            seen = self.unread.len().saturating_sub(3);
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Waits until the peer closes its side; bytes that come ahead of their turn are kept.
    pub async fn closed(&mut self) {
        let mut byte = [0];
        while self.unread.len() < AHEAD_BYTES {
            // Peeking waits without a system call at each poll.
            match self.stream.peek(&mut byte).await {
                Ok(1) => (),
                _ => return,
            }
            if !matches!(self.fill().await, Ok(1..)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let found = bytes[from..].windows(4).position(|w| w == b"\r\n\r\n");
    found.map(|at| from + at + 4)
}

/// What is known of the message that a [`MessageReader`] hands out.
#[derive(Debug)]
pub struct Track {
    pub meter: Meter,
    pub unread: Vec<u8>,
}

/// Reads a checked head and then exactly the body that belongs to it.
#[derive(Debug, Clone)]
pub struct MessageReader {
    stream: TcpStream,
    head: Vec<u8>,
    sent: usize,
    track: Arc<Mutex<Track>>,
}

impl MessageReader {
    pub fn new(wire: Wire, head: Vec<u8>, meter: Meter) -> (Self, Arc<Mutex<Track>>) {
        let track = Arc::new(Mutex::new(Track {
            meter,
            unread: wire.unread,
        }));
        let reader = Self {
            stream: wire.stream,
            head,
            sent: 0,
            track: Arc::clone(&track),
        };
        (reader, track)
    }
}

impl AsyncRead for MessageReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.sent < this.head.len() {
            let count = buffer.len().min(this.head.len() - this.sent);
            buffer[..count].copy_from_slice(&this.head[this.sent..this.sent + count]);
            this.sent += count;
            return Poll::Ready(Ok(count));
        }
        let mut track = lock(&this.track);
        if track.meter.is_done() || buffer.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if !track.unread.is_empty() {
            return Poll::Ready(track.take_unread(buffer));
        }
        let count = ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let used = track.meter.take(&buffer[..count]).map_err(invalid)?;
        track.unread.extend_from_slice(&buffer[used..count]);
        Poll::Ready(Ok(used))
    }
}

impl AsyncWrite for MessageReader {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The server answers `Expect` itself, before the decoder would.
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Track {
    fn take_unread(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = buffer.len().min(self.unread.len());
        let used = self.meter.take(&self.unread[..count]).map_err(invalid)?;
        buffer[..used].copy_from_slice(&self.unread[..used]);
        self.unread.drain(..used);
        Ok(used)
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: std::error::Error + Send + Sync + 'static,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}
