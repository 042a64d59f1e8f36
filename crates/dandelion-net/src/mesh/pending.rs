//! Calls and answer streams that wait for their peer, and whether their requests were sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServePart;
use futures::channel::oneshot;

use crate::lock::lock;
use crate::mesh::error::CallError;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Whether a message was passed to the socket. Decides between `NotSent` and `Unknown`.
#[derive(Debug, Default)]
pub struct Ticket(AtomicU8);

impl Ticket {
    /// Marks the message as sent, just before it is written; returns false if it was withdrawn.
    pub fn mark_sent(&self) -> bool {
        self.advance(SENT)
    }

    /// Withdraws the message; returns false if it may have been sent.
    pub fn withdraw(&self) -> bool {
        self.advance(WITHDRAWN) || self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Marks the message as never sent after all, because it can't be encoded or is too large.
    pub fn mark_unsent(&self) {
        self.0.store(WITHDRAWN, Ordering::Release);
    }

    /// Returns whether the message may have been sent.
    pub fn is_sent(&self) -> bool {
        self.0.load(Ordering::Acquire) == SENT
    }

    /// Withdraws the message; the error says whether it may have been sent.
    pub fn give_up(&self) -> CallError {
        if self.withdraw() {
            CallError::NotSent
        } else {
            CallError::Unknown
        }
    }

    fn advance(&self, to: u8) -> bool {
        let order = (Ordering::AcqRel, Ordering::Acquire);
        self.0
            .compare_exchange(QUEUED, to, order.0, order.1)
            .is_ok()
    }
}

/// Receiver of a reply or of the parts of an answer.
#[derive(Debug)]
pub enum Waiter {
    Call(oneshot::Sender<ReplyBody>),
    Stream(async_channel::Sender<ServePart>),
}

#[derive(Debug)]
struct PendingRequest {
    ticket: Arc<Ticket>,
    waiter: Waiter,
}

/// The calls and streams that wait on one link, by number.
#[derive(Debug, Default)]
pub struct Pending {
    entries: Mutex<HashMap<u64, PendingRequest>>,
}

impl Pending {
    pub fn insert(&self, number: u64, ticket: Arc<Ticket>, waiter: Waiter) {
        lock(&self.entries).insert(number, PendingRequest { ticket, waiter });
    }

    pub fn remove(&self, number: u64) {
        lock(&self.entries).remove(&number);
    }

    pub fn is_empty(&self) -> bool {
        lock(&self.entries).is_empty()
    }

    /// Delivers a reply to its call; one that nobody waits for is dropped.
    pub fn deliver_reply(&self, number: u64, body: ReplyBody) {
        let entry = lock(&self.entries).remove(&number);
        if let Some(PendingRequest {
            waiter: Waiter::Call(sender),
            ..
        }) = entry
        {
            // The caller may have given up in the meantime.
            let _gone = sender.send(body);
        }
    }

    /// Delivers a part to its stream; one that nobody waits for is dropped.
    pub fn deliver_part(&self, number: u64, part: ServePart) {
        let last = part.is_last();
        let mut entries = lock(&self.entries);
        if let Some(PendingRequest {
            waiter: Waiter::Stream(sender),
            ..
        }) = entries.get(&number)
        {
            // The channel is unbounded; the credit limits the bytes in it.
            let _gone = sender.try_send(part);
        }
        if last {
            entries.remove(&number);
        }
    }

    /// Fails every call and stream.
    pub fn clear(&self) {
        lock(&self.entries).clear();
    }

    /// Fails the calls and streams whose requests were sent, after their connection was lost.
    pub fn fail_sent(&self) {
        lock(&self.entries).retain(|_, entry| !entry.ticket.is_sent());
    }
}
