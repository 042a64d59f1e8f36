//! A bounded trace of recent routing decisions, for `explain request`.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Reason;
use crate::outcome::AttemptOutcome;

/// Decisions that a daemon retains.
pub const MAX_DECISIONS: usize = 65_536;

/// A decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The entry chose an owner for it.
    Owner {
        /// Owner of the upstreams, or an entry daemon of another zone.
        owner: DaemonId,
        /// Why this owner was chosen.
        reason: Reason,
    },
    /// The owner put it into its queue.
    Queued {
        /// Requests waiting ahead of it.
        waiting: u32,
    },
    /// The owner sent it to an upstream.
    Dispatched {
        /// Upstream that the request was sent to.
        upstream: UpstreamId,
        /// Whether it runs as an isolated trial.
        alone: bool,
    },
    /// It was cancelled in favour of interactive work.
    Preempted,
    /// It was refused.
    Refused {
        /// Code of the refusal.
        code: RefusalCode,
        /// Whether the request had run by then.
        ran: Ran,
    },
    /// An attempt ended.
    Ended {
        /// How far the attempt got.
        outcome: AttemptOutcome,
    },
    /// Another attempt was started or denied.
    Retry {
        /// Whether another attempt follows.
        granted: bool,
    },
}

/// One decision with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceEntry {
    /// Time of the decision, on the daemon's boot-time clock.
    pub at: Millis,
    /// What was decided.
    pub decision: Decision,
}

/// Ring buffer of decisions, indexed by request.
#[derive(Debug)]
pub struct TraceRing {
    capacity: usize,
    base: u64,
    entries: VecDeque<(RequestId, TraceEntry)>,
    index: BTreeMap<RequestId, Vec<u64>>,
}

impl TraceRing {
    /// Opens a ring that retains the newest `capacity` decisions, at least one.
    pub fn open(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            base: 0,
            entries: VecDeque::new(),
            index: BTreeMap::new(),
        }
    }

    /// Adds a decision; a full ring drops its oldest one.
    pub fn record(&mut self, at: Millis, request: RequestId, decision: Decision) {
        if self.entries.len() == self.capacity {
            self.drop_oldest();
        }
        let position = self.base + self.entries.len() as u64;
        self.index.entry(request).or_default().push(position);
        let entry = TraceEntry { at, decision };
        self.entries.push_back((request, entry));
    }

    fn drop_oldest(&mut self) {
        let Some((request, _)) = self.entries.pop_front() else {
            return;
        };
        if let Some(positions) = self.index.get_mut(&request) {
            positions.remove(0);
            if positions.is_empty() {
                self.index.remove(&request);
            }
        }
        self.base += 1;
    }

    /// Returns the retained decisions about a request, oldest first.
    pub fn explain(&self, request: RequestId) -> Vec<&TraceEntry> {
        let positions = self.index.get(&request).into_iter().flatten();
        positions
            .filter_map(|position| self.entries.get((position - self.base) as usize))
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Returns the number of decisions retained.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no decision is retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
