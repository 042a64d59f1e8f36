//! The origins of callers' streams that one daemon knows.
//!
//! Meant for streams of seconds that break when an upstream, an entry or a connection fails, and that
//! their callers take up again at another entry soon after.

use std::collections::HashMap;
use std::collections::VecDeque;

use dandelion_protocol::streams::StreamKey;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_protocol::time::Millis;

/// Time for which an origin is known after it was last kept. A caller takes a stream up within its
/// deadline, which is seconds.
const RETENTION: Millis = Millis::from_secs(120);

/// Most origins known at once; the one kept first goes first.
const MAX_ORIGINS: usize = 32_768;

/// Origins by stream.
#[derive(Debug, Default)]
pub struct KnownOrigins {
    origins: HashMap<StreamKey, (StreamOrigin, Millis)>,
    /// Streams in the order in which their origins were kept, with the time.
    order: VecDeque<(Millis, StreamKey)>,
}

impl KnownOrigins {
    /// Keeps the origin of a stream. Of two that differ, that of the later try holds, whichever
    /// arrives first.
    pub fn keep(&mut self, now: Millis, key: StreamKey, mut origin: StreamOrigin) {
        if let Some((known, _)) = self.origins.get(&key) {
            if !known.is_same(&origin) && known.number > origin.number {
                return;
            }
            origin.number = origin.number.max(known.number);
        }
        self.order.push_back((now, key.clone()));
        self.origins.insert(key, (origin, now));
        while let Some((at, key)) = self.order.front() {
            let expired = now.since(*at) > RETENTION;
            if !expired && self.order.len() <= MAX_ORIGINS {
                return;
            }
            let is_last = self.origins.get(key).is_some_and(|(_, kept)| kept == at);
            if is_last {
                self.origins.remove(key);
            }
            self.order.pop_front();
        }
    }

    /// Returns the origin of a stream.
    pub fn find(&self, now: Millis, key: &StreamKey) -> Option<&StreamOrigin> {
        let (origin, kept) = self.origins.get(key)?;
        (now.since(*kept) <= RETENTION).then_some(origin)
    }

    /// Returns the number of streams whose origin is known.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether no origin is known.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}
