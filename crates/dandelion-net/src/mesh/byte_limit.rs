//! Limit of the bytes that a queue holds.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Counts the bytes that are held under a limit; copies share the count.
#[derive(Debug, Clone)]
pub struct ByteLimit {
    held: Arc<AtomicUsize>,
    limit: usize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl ByteLimit {
    /// Makes a limit in bytes, none of which are held.
    pub fn new(limit: usize) -> Self {
        Self {
            held: Arc::default(),
            limit,
        }
    }

    /// Holds further bytes, or returns none if that exceeds the limit. More than the limit are
    /// granted while none are held.
    pub fn take(&self, bytes: usize) -> Option<HeldBytes> {
        let add = |held: usize| {
            let sum = held.saturating_add(bytes);
            (held == 0 || sum <= self.limit).then_some(sum)
        };
        let taken = self
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
        taken.ok().map(|_before| HeldBytes {
            held: Arc::clone(&self.held),
            bytes,
        })
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Acquire)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
