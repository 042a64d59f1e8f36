//! Flow control of one answer stream: the body bytes that may be sent before the peer grants more.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;

/// Body bytes that may be in flight on one stream.
pub const WINDOW_BYTES: u32 = 256 * 1024;

/// Credit of one stream in bytes. While any remains, one piece may overdraw it, so that pieces
/// larger than the remaining credit are still sent.
#[derive(Debug)]
pub struct Credit {
    remaining: AtomicI64,
    granted: Sender<()>,
    waiting: Receiver<()>,
}

impl Credit {
    pub fn new() -> Self {
        let (granted, waiting) = async_channel::bounded(1);
        Self {
            remaining: AtomicI64::new(WINDOW_BYTES.into()),
            granted,
            waiting,
        }
    }

    /// Consumes `bytes` of credit, waiting while there is none.
    pub async fn acquire(&self, bytes: usize) {
        while self.remaining.load(Ordering::Acquire) <= 0 {
            // The channel lives as long as `self`, so this only ends with a grant.
            let _granted = self.waiting.recv().await;
        }
        self.remaining.fetch_sub(bytes as i64, Ordering::AcqRel);
    }

    /// Adds `bytes` of credit and wakes the sender.
    pub fn grant(&self, bytes: u32) {
        self.remaining.fetch_add(bytes.into(), Ordering::AcqRel);
        // A full channel already holds a wake-up.
        let _full = self.granted.try_send(());
    }
}
