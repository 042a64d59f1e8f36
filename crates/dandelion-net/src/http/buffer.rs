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

/// Size of the segments of a body after its first one, which grows to it.
const SEGMENT_BYTES: usize = 64 * 1024;

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

/// A body that is being buffered. Its bytes are in segments: a vector that grows is copied, and what it
/// leaves behind is of use only to bodies of the same length.
#[derive(Debug)]
pub struct BodyBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
    limit: usize,
    share: Option<BufferShare>,
}

impl BodyBuffer {
    /// Makes an empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            segments: Vec::new(),
            length: 0,
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
        let length = self.length + piece.len();
        if length > self.limit {
            return Err(BufferError::TooLong(self.limit));
        }
        if let Some(share) = &mut self.share {
            share.grow_to(length)?;
        }
        self.length = length;
        let mut rest = piece;
        while !rest.is_empty() {
            match self.segments.last_mut() {
                Some(last) if last.len() < SEGMENT_BYTES => {
                    let count = rest.len().min(SEGMENT_BYTES - last.len());
                    last.extend_from_slice(&rest[..count]);
                    rest = &rest[count..];
                }
                // Most bodies need no second segment, so the first one grows with its content.
                None => self.segments.push(Vec::new()),
                Some(_) => self.segments.push(Vec::with_capacity(SEGMENT_BYTES)),
            }
        }
        Ok(())
    }

    /// Takes the bytes, which no longer count against the budget.
    pub fn take(&mut self) -> Vec<u8> {
        let mut segments = std::mem::take(&mut self.segments).into_iter();
        let mut bytes = segments.next().unwrap_or_default();
        bytes.reserve_exact(self.length - bytes.len());
        for segment in segments {
            bytes.extend_from_slice(&segment);
        }
        self.length = 0;
        bytes
    }

    /// Converts the bytes into a body, which counts against the budget until it was sent. Each segment is
    /// freed as soon as it was read.
    pub fn into_body(self) -> Body {
        let length = self.length;
        let reader = BufferReader {
            buffer: self,
            segment: 0,
            consumed: 0,
        };
        Body::from_reader(reader, Some(length))
    }
}

struct BufferReader {
    buffer: BodyBuffer,
    /// Number of the segment that is read.
    segment: usize,
    /// Bytes of it that were read.
    consumed: usize,
}

impl BufferReader {
    /// Returns what is left of the segment that is read.
    fn rest(&self) -> &[u8] {
        let segment = self.buffer.segments.get(self.segment);
        segment.map_or(&[], |segment| &segment[self.consumed..])
    }

    fn skip(&mut self, count: usize) {
        self.consumed += count.min(self.rest().len());
        if self.rest().is_empty()
            && let Some(segment) = self.buffer.segments.get_mut(self.segment)
        {
            *segment = Vec::new();
            self.segment += 1;
            self.consumed = 0;
        }
    }
}

impl AsyncBufRead for BufferReader {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(self.get_mut().rest()))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().skip(count);
    }
}

impl AsyncRead for BufferReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = self.rest();
        let count = rest.len().min(target.len());
        target[..count].copy_from_slice(&rest[..count]);
        self.skip(count);
        Poll::Ready(Ok(count))
    }
}
