//! Requests in progress by their key, so that they are aborted when the key is withdrawn.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use dandelion_net::Signal;
use dandelion_net::Trigger;
use dandelion_protocol::config::Config;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::time::WallMillis;

type Triggers = BTreeMap<u64, Trigger>;

/// Requests in progress of callers with a key.
#[derive(Debug, Clone, Default)]
pub struct OpenStreams {
    keys: Arc<Mutex<BTreeMap<KeyId, Triggers>>>,
}

/// Registration of one request in progress; dropping it removes the registration.
#[derive(Debug)]
pub struct StreamGuard {
    streams: OpenStreams,
    key: Option<KeyId>,
    number: u64,
    signal: Signal,
    /// Keeps the signal of a request without a key from being raised.
    _trigger: Option<Trigger>,
}

impl StreamGuard {
    /// Returns the signal that is raised when the request's key is no longer valid.
    pub fn signal(&self) -> Signal {
        self.signal.clone()
    }
}

impl OpenStreams {
    /// Registers a request. A request without a key is never aborted.
    pub fn register(&self, key: Option<KeyId>, number: u64) -> StreamGuard {
        let (trigger, signal) = Signal::new();
        let unkeyed = if let Some(key) = &key {
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
            _trigger: unkeyed,
        }
    }

    /// Aborts the requests of keys that are not in the configuration; returns their number.
    pub fn abort_withdrawn(&self, config: &Config) -> usize {
        self.abort_where(|key| !config.keys.contains_key(key))
    }

    /// Aborts the requests of keys that have expired; returns their number.
    pub fn abort_expired(&self, config: &Config, now: WallMillis) -> usize {
        let expired = |key: &KeyId| {
            let expires = config.keys.get(key).and_then(|k| k.expires);
            expires.is_some_and(|at| at <= now)
        };
        self.abort_where(expired)
    }

    /// Aborts all requests with a key, because the lease has expired; returns their number.
    pub fn abort_all(&self) -> usize {
        self.abort_where(|_| true)
    }

    fn abort_where<F>(&self, is_invalid: F) -> usize
    where
        F: Fn(&KeyId) -> bool,
    {
        let mut keys = self.keys.lock().expect("no holder of this lock panics");
        let mut count = 0;
        for (_, triggers) in keys.iter().filter(|(key, _)| is_invalid(key)) {
            triggers.values().for_each(Trigger::raise);
            count += triggers.len();
        }
        keys.retain(|key, _| !is_invalid(key));
        count
    }

    fn unregister(&self, key: &KeyId, number: u64) {
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
            self.streams.unregister(key, self.number);
        }
    }
}
