//! What a fake engine knows and counts.

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
use crate::intake::Seen;
use crate::intake::lock;

/// An order that reached the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SeenOrder {
    /// Fencing number on it.
    pub term: Term,
    /// Version to load.
    pub version: WeightVersion,
    /// When it came, on the boot-time clock.
    pub at: Millis,
    /// Whether it was acknowledged.
    pub accepted: bool,
}

/// Counts of a fake engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Requests that were given a place.
    pub started: u64,
    /// Requests that ran to their last token.
    pub finished: u64,
    /// Requests whose caller went away or cancelled.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests whose prompt prefix was cached.
    pub hits: u64,
    /// Requests whose prompt prefix was not cached.
    pub misses: u64,
}

/// Cancels one request in the batch.
#[derive(Debug)]
struct Cancel {
    id: String,
    // Dropping it raises the signal.
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
    pub failing: AtomicU32,
    pub term: Mutex<Term>,
    pub orders: Mutex<Vec<SeenOrder>>,
    pub counts: Mutex<EngineCounts>,
    pub runs: Mutex<BTreeMap<String, u64>>,
    cancels: Mutex<BTreeMap<u64, Cancel>>,
    pub seen: Seen,
    pub prefixes: Mutex<PrefixCache>,
    pub crash: Trigger,
    places: (Sender<()>, Receiver<()>),
}

impl State {
    pub fn new(config: EngineConfig, crash: Trigger) -> Self {
        let places = async_channel::bounded(config.capacity.max(1) as usize);
        while places.0.try_send(()).is_ok() {}
        Self {
            version: AtomicU64::new(config.version.0),
            failing: AtomicU32::new(config.failing_loads),
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
            seen: Seen::default(),
            prefixes: Mutex::default(),
            crash,
            places,
        }
    }

    /// Returns the loaded version.
    pub fn loaded(&self) -> WeightVersion {
        WeightVersion(self.version.load(Ordering::SeqCst))
    }

    /// Swaps the loaded version; cached prefixes are of no use with new weights.
    pub fn swap(&self, version: WeightVersion) {
        self.version.store(version.0, Ordering::SeqCst);
        lock(&self.prefixes).clear();
    }

    /// Looks a prompt up in the prefix cache and counts; true if it was there.
    pub fn lookup(&self, prompt: &str) -> bool {
        let hit = lock(&self.prefixes).touch(prompt, self.config.cached);
        let mut counts = lock(&self.counts);
        if hit {
            counts.hits += 1;
        } else {
            counts.misses += 1;
        }
        hit
    }

    /// Dies: no further answer, no further announcement.
    pub fn die(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        self.crash.raise();
    }

    /// Cancels every request `id` in the batch; false if there is none.
    pub fn cancel(&self, id: &str) -> bool {
        let mut cancels = lock(&self.cancels);
        let before = cancels.len();
        cancels.retain(|_, cancel| cancel.id != id);
        cancels.len() < before
    }

    /// Waits for a place in the batch.
    pub async fn place(self: &Arc<Self>) -> Place {
        let waiting = Gauge::enter(&self.waiting);
        // The channel lives as long as the state.
        let _free = self.places.1.recv().await;
        drop(waiting);
        self.running.fetch_add(1, Ordering::SeqCst);
        let mut counts = lock(&self.counts);
        counts.started += 1;
        Place {
            state: Arc::clone(self),
            number: counts.started,
            finished: false,
        }
    }
}

/// Counts up while it lives.
struct Gauge<'a>(&'a AtomicU32);

impl<'a> Gauge<'a> {
    fn enter(gauge: &'a AtomicU32) -> Self {
        gauge.fetch_add(1, Ordering::SeqCst);
        Self(gauge)
    }
}

impl Drop for Gauge<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A place in the batch, given back when it is dropped.
#[derive(Debug)]
pub struct Place {
    pub state: Arc<State>,
    pub finished: bool,
    number: u64,
}

impl Place {
    /// Lets the request be cancelled by its id.
    pub fn cancel_by(&self, id: String) -> Signal {
        let (trigger, signal) = Signal::new();
        let cancel = Cancel {
            id,
            _trigger: trigger,
        };
        lock(&self.state.cancels).insert(self.number, cancel);
        signal
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.state.cancels).remove(&self.number);
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        let mut counts = lock(&self.state.counts);
        if self.finished {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
        let _full = self.state.places.0.try_send(());
    }
}
