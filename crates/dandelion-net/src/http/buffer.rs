//! Bodies that are buffered whole, within limits of their own and of the process.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures::AsyncBufRead;
use futures::AsyncRead;
use http_types::Body;
use thiserror::Error;

/// First bytes of each body that are not counted against a budget: long bodies can't keep short
/// ones from being read.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// A body has more bytes than may be buffered.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum BufferError {
    /// The body is longer than the reader's limit.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// Other long bodies use the memory that is set aside for them.
    #[error("too many long bodies at the same time")]
    NoMemory,
}

/// Memory for long bodies; copies share it.
#[derive(Debug, Clone)]
pub struct BufferBudget(Arc<AtomicUsize>);

impl BufferBudget {
    /// Makes a budget of `bytes` for all bodies together, beyond their first 64 KiB.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns the bytes that are not in use.
    pub fn free(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn reserve(&self, bytes: usize) -> bool {
        let take = |free: usize| free.checked_sub(bytes);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// What one reader holds of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    reserved: usize,
}

impl BufferShare {
    /// Holds nothing of a budget yet.
    pub fn of(budget: &BufferBudget) -> Self {
        Self {
            budget: budget.clone(),
            reserved: 0,
        }
    }

    /// Makes room for `bytes` in all. A refusal leaves the share as it was.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BufferError> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let missing = counted.saturating_sub(self.reserved);
        if !self.budget.reserve(missing) {
            return Err(BufferError::NoMemory);
        }
        self.reserved += missing;
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.release(self.reserved);
    }
}

/// A body that is being buffered.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    limit: usize,
    share: Option<BufferShare>,
}

impl BodyBuffer {
    /// Makes an empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit,
            share: None,
        }
    }

    /// Makes an empty buffer for at most `limit` bytes, counted against a budget.
    pub fn within(limit: usize, budget: &BufferBudget) -> Self {
        let mut buffer = Self::new(limit);
        buffer.share = Some(BufferShare::of(budget));
        buffer
    }

    /// Returns the most bytes that the buffer may hold.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Appends bytes; a refused piece leaves the buffer unchanged.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BufferError> {
        let length = self.bytes.len() + piece.len();
        if length > self.limit {
            return Err(BufferError::TooLong(self.limit));
        }
        if let Some(share) = &mut self.share {
            share.grow_to(length)?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Takes the bytes, which no longer count against the budget.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Converts the bytes into a body, which counts against the budget until it was sent.
    pub fn into_body(self) -> Body {
        let length = self.bytes.len();
        let reader = BufferReader {
            buffer: self,
            consumed: 0,
        };
        Body::from_reader(reader, Some(length))
    }
}

struct BufferReader {
    buffer: BodyBuffer,
    consumed: usize,
}

impl AsyncBufRead for BufferReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        Poll::Ready(Ok(&this.buffer.bytes[this.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        let this = self.get_mut();
        this.consumed = this.buffer.bytes.len().min(this.consumed + count);
    }
}

impl AsyncRead for BufferReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.buffer.bytes[self.consumed..];
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        self.consumed += count;
        Poll::Ready(Ok(count))
    }
}
