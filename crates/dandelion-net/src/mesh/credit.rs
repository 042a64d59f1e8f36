//! Flow control of one answer stream: body bytes that may be sent before the peer grants more.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;

/// Body bytes that may be under way on one stream.
pub const WINDOW_BYTES: u32 = 256 * 1024;

/// Credit of one stream. A piece may overdraw it once, so that pieces larger than what is left
/// still pass.
#[derive(Debug)]
pub struct Credit {
    left: AtomicI64,
    granted: Sender<()>,
    waiting: Receiver<()>,
}

impl Credit {
    pub fn new() -> Self {
        let (granted, waiting) = async_channel::bounded(1);
        Self {
            left: AtomicI64::new(WINDOW_BYTES.into()),
            granted,
            waiting,
        }
    }

    /// Takes `bytes`, waiting while there is no credit.
    pub async fn take(&self, bytes: usize) {
        while self.left.load(Ordering::Acquire) <= 0 {
            // The channel lives as long as `self`, so this only ends with a grant.
            let _granted = self.waiting.recv().await;
        }
        self.left.fetch_sub(bytes as i64, Ordering::AcqRel);
    }

    /// Adds `bytes`.
    pub fn grant(&self, bytes: u32) {
        self.left.fetch_add(bytes.into(), Ordering::AcqRel);
        // A full channel already holds a wake-up.
        let _full = self.granted.try_send(());
    }
}
