//! A connection with a read buffer, and a reader of exactly one message from it.

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

use crate::http::framing::FramingParser;
use crate::http::memory::ClientMemory;
use crate::http::memory::Held;
use crate::http::memory::Kind;
use crate::lock::lock;

/// Longest head, in bytes; `async-h1` refuses longer ones.
pub const MAX_HEAD: usize = 8 * 1024 - 1;
/// Most bytes that one read appends to the buffer.
const READ_BYTES: usize = 4096;
/// Bytes of pipelined requests that are buffered while an answer is in progress.
const MAX_PIPELINED: usize = 64 * 1024;

/// A connection, and the bytes that were read from it but not consumed yet.
#[derive(Debug)]
pub struct BufferedConnection {
    pub stream: TcpStream,
    pub buffered: Vec<u8>,
    /// Account of the pipelined requests in the buffer.
    pub pipelined: Option<Held>,
}

impl BufferedConnection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffered: Vec::new(),
            pipelined: None,
        }
    }

    /// Reads once into the buffer and returns the number of bytes; 0 means that the peer closed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context)).await
    }

    /// Appends received bytes to `buffered`, without leaving any padding when it returns.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let former = self.buffered.len();
        // Doubling the capacity would hold twice what is accounted.
        self.buffered.reserve_exact(READ_BYTES);
        self.buffered.resize(former + READ_BYTES, 0);
        let space = &mut self.buffered[former..];
        let read = Pin::new(&mut self.stream).poll_read(context, space);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.buffered.truncate(former + count);
        read
    }

    /// Waits until there is something to read. Frees the buffer, which must be empty, so that an
    /// idle connection holds no memory for it.
    pub async fn readable(&mut self) {
        self.buffered = Vec::new();
        self.pipelined = None;
        // The next read reports the same bytes, close or error.
        let _found = self.stream.peek(&mut [0]).await;
    }

    /// Reads up to and including the next empty line. Returns `None` if the peer closed before it,
    /// and `FileTooLarge` if more than `limit` bytes came without one.
    pub async fn head(&mut self, limit: usize) -> io::Result<Option<Vec<u8>>> {
        let mut seen = 0;
        loop {
            if let Some(end) = head_end(&self.buffered, seen) {
                // A split would leave the head the capacity of the whole buffer.
                return Ok(Some(self.buffered.drain(..end).collect()));
            }
            if self.buffered.len() > limit {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            seen = self.buffered.len().saturating_sub(3);
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Waits until the peer closes its side, buffering pipelined requests meanwhile. Once the
    /// buffer holds [`MAX_PIPELINED`] bytes, or the account is full, it stops reading and never
    /// returns.
    pub async fn closed(&mut self, memory: &ClientMemory) {
        let mut byte = [0];
        while self.buffered.len() < MAX_PIPELINED {
            // Peeking waits without a system call at each poll.
            match self.stream.peek(&mut byte).await {
                Ok(1) => (),
                _ => return,
            }
            let held = &*self
                .pipelined
                .get_or_insert_with(|| memory.hold(Kind::Pipelined));
            if held.grow_to(self.buffered.len() + READ_BYTES).is_err() {
                break;
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

/// State of a [`MessageReader`] that remains accessible while the decoder owns the reader.
#[derive(Debug)]
pub struct ReaderState {
    pub parser: FramingParser,
    pub buffered: Vec<u8>,
}

/// Yields a checked head and then exactly the body that belongs to it.
#[derive(Debug, Clone)]
pub struct MessageReader {
    stream: TcpStream,
    head: Vec<u8>,
    delivered: usize,
    reader_state: Arc<Mutex<ReaderState>>,
}

impl MessageReader {
    pub fn new(
        conn: BufferedConnection,
        head: Vec<u8>,
        parser: FramingParser,
    ) -> (Self, Arc<Mutex<ReaderState>>) {
        let reader_state = Arc::new(Mutex::new(ReaderState {
            parser,
            buffered: conn.buffered,
        }));
        let reader = Self {
            stream: conn.stream,
            head,
            delivered: 0,
            reader_state: Arc::clone(&reader_state),
        };
        (reader, reader_state)
    }
}

impl AsyncRead for MessageReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.delivered < this.head.len() {
            let count = buffer.len().min(this.head.len() - this.delivered);
            buffer[..count].copy_from_slice(&this.head[this.delivered..this.delivered + count]);
            this.delivered += count;
            return Poll::Ready(Ok(count));
        }
        let mut reader_state = lock(&this.reader_state);
        if reader_state.parser.is_done() || buffer.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if !reader_state.buffered.is_empty() {
            return Poll::Ready(reader_state.read_buffered(buffer));
        }
        let count = ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let consumed = reader_state
            .parser
            .advance(&buffer[..count])
            .map_err(invalid)?;
        reader_state
            .buffered
            .extend_from_slice(&buffer[consumed..count]);
        Poll::Ready(Ok(consumed))
    }
}

impl AsyncWrite for MessageReader {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Discards what the decoder writes: the server itself answers `Expect` beforehand.
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl ReaderState {
    fn read_buffered(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = buffer.len().min(self.buffered.len());
        let consumed = self
            .parser
            .advance(&self.buffered[..count])
            .map_err(invalid)?;
        buffer[..consumed].copy_from_slice(&self.buffered[..consumed]);
        self.buffered.drain(..consumed);
        Ok(consumed)
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: std::error::Error + Send + Sync + 'static,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}
