//! Requests under way by the key that opened them, so that a withdrawal cuts them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_protocol::config::Config;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::time::WallMillis;

type Triggers = BTreeMap<u64, Trigger>;

/// Open requests of keyed callers.
#[derive(Debug, Clone, Default)]
pub struct OpenStreams {
    keys: Arc<Mutex<BTreeMap<KeyId, Triggers>>>,
}

/// Entry of one open request; dropping it removes the entry.
#[derive(Debug)]
pub struct StreamGuard {
    streams: OpenStreams,
    key: Option<KeyId>,
    number: u64,
    signal: Signal,
    _trigger: Option<Trigger>,
}

impl StreamGuard {
    /// Returns the signal that is raised when the key stops working.
    pub fn signal(&self) -> Signal {
        self.signal.clone()
    }
}

impl OpenStreams {
    /// Enters a request. One without a key is never cut.
    pub fn enter(&self, key: Option<KeyId>, number: u64) -> StreamGuard {
        let (trigger, signal) = Signal::new();
        let kept = if let Some(key) = &key {
            let mut keys = self.keys.lock().expect("no holder of this lock panics");
            keys.entry(key.clone()).or_default().insert(number, trigger);
            None
        } else {
            Some(trigger)
        };
        StreamGuard {
            streams: self.clone(),
            key,
            number,
            signal,
            _trigger: kept,
        }
    }

    /// Cuts the requests of every key that is not in force; returns how many.
    pub fn cut_withdrawn(&self, config: &Config) -> usize {
        self.cut_where(|key| !config.keys.contains_key(key))
    }

    /// Cuts the requests of keys that have expired; returns how many.
    pub fn cut_expired(&self, config: &Config, now: WallMillis) -> usize {
        let expired = |key: &KeyId| {
            let expires = config.keys.get(key).and_then(|k| k.expires);
            expires.is_some_and(|at| at <= now)
        };
        self.cut_where(expired)
    }

    /// Cuts every keyed request, because the lease ran out; returns how many.
    pub fn cut_all(&self) -> usize {
        self.cut_where(|_| true)
    }

    fn cut_where<F>(&self, cut: F) -> usize
    where
        F: Fn(&KeyId) -> bool,
    {
        let mut keys = self.keys.lock().expect("no holder of this lock panics");
        let mut count = 0;
        for (_, triggers) in keys.iter().filter(|(key, _)| cut(key)) {
            triggers.values().for_each(Trigger::raise);
            count += triggers.len();
        }
        keys.retain(|key, _| !cut(key));
        count
    }

    fn leave(&self, key: &KeyId, number: u64) {
        let mut keys = self.keys.lock().expect("no holder of this lock panics");
        let Some(triggers) = keys.get_mut(key) else {
            return;
        };
        triggers.remove(&number);
        if triggers.is_empty() {
            keys.remove(key);
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if let Some(key) = &self.key {
            self.streams.leave(key, self.number);
        }
    }
}
