//! A bounded record of recent decisions, for `explain request`.

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

/// Decisions kept by a daemon, unless set otherwise.
pub const MAX_DECISIONS: usize = 65_536;

/// Something that was decided about a request, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The entry sent it to an owner.
    Owner {
        /// Owner.
        owner: DaemonId,
        /// Why this one.
        reason: Reason,
    },
    /// The owner put it into its queue.
    Queued {
        /// Requests waiting before it.
        waiting: u32,
    },
    /// The owner sent it to an upstream.
    Dispatched {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it runs in isolation.
        alone: bool,
    },
    /// Cancelled in favour of interactive work.
    Preempted,
    /// It was refused.
    Refused {
        /// Code.
        code: RefusalCode,
        /// Whether it ran.
        ran: Ran,
    },
    /// An attempt ended.
    Ended {
        /// How far it got.
        outcome: AttemptOutcome,
    },
    /// Another attempt was started or denied.
    Retry {
        /// Whether it was granted.
        granted: bool,
    },
}

/// One entry of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceEntry {
    /// When, on the daemon's boot-time clock.
    pub at: Millis,
    /// What.
    pub decision: Decision,
}

/// Ring of decisions by request.
#[derive(Debug)]
pub struct TraceRing {
    most: usize,
    base: u64,
    entries: VecDeque<(RequestId, TraceEntry)>,
    index: BTreeMap<RequestId, Vec<u64>>,
}

impl TraceRing {
    /// Opens a ring that keeps the newest `most` decisions.
    pub fn open(most: usize) -> Self {
        Self {
            most: most.max(1),
            base: 0,
            entries: VecDeque::new(),
            index: BTreeMap::new(),
        }
    }

    /// Adds a decision and drops the oldest one of a full ring.
    pub fn record(&mut self, at: Millis, request: RequestId, decision: Decision) {
        if self.entries.len() == self.most {
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

    /// Returns what is still known of a request, in order.
    pub fn explain(&self, request: RequestId) -> Vec<&TraceEntry> {
        let positions = self.index.get(&request).into_iter().flatten();
        positions
            .filter_map(|position| self.entries.get((position - self.base) as usize))
            .map(|(_, entry)| entry)
            .collect()
    }

    /// Returns the decisions kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
