//! Calls and answer streams that wait for their peer, and how far each has got.

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

/// Whether a message has been given to the socket. Decides between `NotSent` and `Unknown`.
#[derive(Debug, Default)]
pub struct Ticket(AtomicU8);

impl Ticket {
    /// Claims the message for sending; false if it was withdrawn.
    pub fn begin(&self) -> bool {
        self.advance(SENT)
    }

    /// Withdraws the message; false if it may have been sent.
    pub fn withdraw(&self) -> bool {
        self.advance(WITHDRAWN) || self.0.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Marks the message as never sent after all, because it has no form on the wire.
    pub fn unsent(&self) {
        self.0.store(WITHDRAWN, Ordering::Release);
    }

    /// Tells whether the message may have been sent.
    pub fn is_sent(&self) -> bool {
        self.0.load(Ordering::Acquire) == SENT
    }

    /// Withdraws the message and returns what is then known of it.
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

/// Who waits.
#[derive(Debug)]
pub enum Waiter {
    Call(oneshot::Sender<ReplyBody>),
    Stream(async_channel::Sender<ServePart>),
}

#[derive(Debug)]
struct Entry {
    ticket: Arc<Ticket>,
    waiter: Waiter,
}

/// Everything that waits on one link, by number.
#[derive(Debug, Default)]
pub struct Pending {
    entries: Mutex<HashMap<u64, Entry>>,
}

impl Pending {
    pub fn insert(&self, number: u64, ticket: Arc<Ticket>, waiter: Waiter) {
        lock(&self.entries).insert(number, Entry { ticket, waiter });
    }

    pub fn remove(&self, number: u64) {
        lock(&self.entries).remove(&number);
    }

    pub fn is_empty(&self) -> bool {
        lock(&self.entries).is_empty()
    }

    /// Hands a reply to its call; one that nobody waits for is dropped.
    pub fn reply(&self, number: u64, body: ReplyBody) {
        let entry = lock(&self.entries).remove(&number);
        if let Some(Entry {
            waiter: Waiter::Call(sender),
            ..
        }) = entry
        {
            // The caller may have given up in between.
            let _gone = sender.send(body);
        }
    }

    /// Hands a part to its stream; one that nobody waits for is dropped.
    pub fn part(&self, number: u64, part: ServePart) {
        let last = matches!(part, ServePart::End { .. } | ServePart::Failed(_));
        let mut entries = lock(&self.entries);
        if let Some(Entry {
            waiter: Waiter::Stream(sender),
            ..
        }) = entries.get(&number)
        {
            // The channel is unbounded; the credit bounds what is in it.
            let _gone = sender.try_send(part);
        }
        if last {
            entries.remove(&number);
        }
    }

    /// Ends every wait.
    pub fn clear(&self) {
        lock(&self.entries).clear();
    }

    /// Ends the wait for everything that was sent on a lost connection.
    pub fn fail_sent(&self) {
        lock(&self.entries).retain(|_, entry| !entry.ticket.is_sent());
    }
}
