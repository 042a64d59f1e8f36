//! Shared state and counters of a fake engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;
use serde::Serialize;

use crate::engine::config::EngineConfig;
use crate::engine::prefix::PrefixCache;
use crate::support::ReceivedRequests;
use crate::support::lock;

/// A load order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReceivedOrder {
    /// Fencing term of the order.
    pub term: Term,
    /// Version to load.
    pub version: WeightVersion,
    /// Time of arrival on the boot-time clock.
    pub at: Millis,
    /// Whether the order was acknowledged; `false` means that its term was stale.
    pub accepted: bool,
}

/// Counters of a fake engine, since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Requests that got a batch slot.
    pub started: u64,
    /// Requests that were answered to the last token.
    pub finished: u64,
    /// Requests that ended early: cancelled, or their connection closed.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests whose prompt prefix was cached.
    pub hits: u64,
    /// Requests whose prompt prefix was not cached.
    pub misses: u64,
}

/// Cancellation handle of one request in the batch.
#[derive(Debug)]
struct CancelEntry {
    id: String,
    // Raises the request's cancel signal on drop.
    _trigger: Trigger,
}

/// Shared state of one engine.
#[derive(Debug)]
pub struct State {
    pub config: EngineConfig,
    pub version: AtomicU64,
    pub leaving: AtomicBool,
    pub crashed: AtomicBool,
    pub running: AtomicU32,
    pub waiting: AtomicU32,
    pub failing_loads: AtomicU32,
    pub term: Mutex<Term>,
    pub orders: Mutex<Vec<ReceivedOrder>>,
    pub counts: Mutex<EngineCounts>,
    pub runs: Mutex<BTreeMap<String, u64>>,
    cancels: Mutex<BTreeMap<u64, CancelEntry>>,
    pub requests: ReceivedRequests,
    pub prefixes: Mutex<PrefixCache>,
    pub crash_trigger: Trigger,
    slots: (Sender<()>, Receiver<()>),
}

impl State {
    pub fn new(config: EngineConfig, crash_trigger: Trigger) -> Self {
        let slots = async_channel::bounded(config.capacity.max(1) as usize);
        while slots.0.try_send(()).is_ok() {}
        Self {
            version: AtomicU64::new(config.version.0),
            failing_loads: AtomicU32::new(config.failing_loads),
            config,
            leaving: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            term: Mutex::default(),
            orders: Mutex::default(),
            counts: Mutex::default(),
            runs: Mutex::default(),
            cancels: Mutex::default(),
            requests: ReceivedRequests::default(),
            prefixes: Mutex::default(),
            crash_trigger,
            slots,
        }
    }

    /// Returns the loaded weight version.
    pub fn loaded_version(&self) -> WeightVersion {
        WeightVersion(self.version.load(Ordering::SeqCst))
    }

    /// Swaps the weight version and clears the prefix cache, which is invalid with new weights.
    pub fn swap(&self, version: WeightVersion) {
        self.version.store(version.0, Ordering::SeqCst);
        lock(&self.prefixes).clear();
    }

    /// Looks a prompt up in the prefix cache, counts the hit or miss, and returns whether it hit.
    pub fn lookup(&self, prompt: &str) -> bool {
        let hit = lock(&self.prefixes).touch(prompt, self.config.max_prefixes);
        let mut counts = lock(&self.counts);
        if hit {
            counts.hits += 1;
        } else {
            counts.misses += 1;
        }
        hit
    }

    /// Crashes the engine: closes its connections and stops its announcements.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.crash_trigger.raise();
    }

    /// Cancels every request `id` in the batch; returns `false` if there is none.
    pub fn cancel(&self, id: &str) -> bool {
        let mut cancels = lock(&self.cancels);
        let before = cancels.len();
        cancels.retain(|_, cancel| cancel.id != id);
        cancels.len() < before
    }

    /// Waits for a free slot in the batch.
    pub async fn acquire_slot(self: &Arc<Self>) -> BatchSlot {
        let waiting = GaugeGuard::enter(&self.waiting);
        // Can't fail: the state holds the sender.
        let _permit = self.slots.1.recv().await;
        drop(waiting);
        self.running.fetch_add(1, Ordering::SeqCst);
        let mut counts = lock(&self.counts);
        counts.started += 1;
        BatchSlot {
            state: Arc::clone(self),
            number: counts.started,
            finished: false,
        }
    }
}

/// Increments a gauge and decrements it on drop.
struct GaugeGuard<'a>(&'a AtomicU32);

impl<'a> GaugeGuard<'a> {
    fn enter(gauge: &'a AtomicU32) -> Self {
        gauge.fetch_add(1, Ordering::SeqCst);
        Self(gauge)
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A slot in the batch, released on drop.
#[derive(Debug)]
pub struct BatchSlot {
    pub state: Arc<State>,
    pub finished: bool,
    number: u64,
}

impl BatchSlot {
    /// Registers the request for [`State::cancel`]; returns the signal that a cancel raises.
    pub fn register_cancel(&self, id: String) -> Signal {
        let (trigger, signal) = Signal::new();
        let cancel = CancelEntry {
            id,
            _trigger: trigger,
        };
        lock(&self.state.cancels).insert(self.number, cancel);
        signal
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        lock(&self.state.cancels).remove(&self.number);
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        let mut counts = lock(&self.state.counts);
        if self.finished {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
        let _full_queue = self.state.slots.0.try_send(());
    }
}
