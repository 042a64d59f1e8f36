//! A control daemon's feeding side: the daemons that renew with it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::message::AppliedCount;
use crate::feed::message::Licence;
use crate::feed::message::MAX_COUNTS;
use crate::timing::Timing;
use crate::timing::lengthen;
use crate::timing::shorten;

/// Reports whose sending time is remembered.
const MAX_SENT: usize = 16;

/// A daemon that renews with this feeder.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// Revision that it has acknowledged.
    pub applied: Revision,
    /// Revision last pushed to it.
    pub pushed: Revision,
    /// When its lease has surely ended.
    pub until: Millis,
}

/// A daemon without state that waits for a confirmed lease.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Number of its renewal.
    pub nonce: u64,
    /// When the renewal was received.
    pub since: Millis,
}

/// The right to give leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedLease {
    /// The quorum was behind the leader at or after this time.
    pub confirmed: Millis,
    /// End.
    pub until: Millis,
    /// Revision that must be applied first.
    pub floor: Revision,
}

#[derive(Debug, Clone, Copy)]
struct SentReport {
    nonce: u64,
    at: Millis,
}

/// State of the feeding side.
#[derive(Debug)]
pub struct Feeding {
    /// Life of this process, drawn at random.
    pub life: u64,
    /// Daemons under a lease of this feeder.
    pub subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Fresh daemons that wait.
    pub waiting: BTreeMap<DaemonId, Waiting>,
    /// Lease from the leader, if following.
    pub lease: Option<FeedLease>,
    /// Whether the leader should hear of changes.
    pub dirty: bool,
    /// When the last report was sent.
    pub reported: Option<Millis>,
    sent: VecDeque<SentReport>,
    nonce: u64,
}

impl Feeding {
    /// Starts without daemons.
    pub fn open(seed: u64) -> Self {
        Self {
            life: seed.rotate_left(17),
            subscribers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            lease: None,
            dirty: true,
            reported: None,
            sent: VecDeque::new(),
            nonce: seed >> 1,
        }
    }

    /// Numbers a report sent at `now`.
    pub fn number_report(&mut self, now: Millis) -> u64 {
        self.nonce += 1;
        self.sent.push_back(SentReport {
            nonce: self.nonce,
            at: now,
        });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.reported = Some(now);
        self.dirty = false;
        self.nonce
    }

    /// Takes the leader's answer to a report.
    pub fn take_licence(&mut self, licence: &Licence) {
        let sent = self.sent.iter().find(|s| s.nonce == licence.nonce);
        let Some(sent) = sent else {
            return;
        };
        let until = sent.at + licence.lease;
        let newer = self.lease.is_none_or(|held| held.until < until);
        if newer {
            self.lease = Some(FeedLease {
                confirmed: sent.at,
                until,
                floor: licence.floor,
            });
        }
    }

    /// Notes a lease given to a daemon.
    pub fn subscribe(&mut self, now: Millis, daemon: DaemonId, applied: Revision, lease: Millis) {
        let until = now + lengthen(lease);
        let known = self.subscribers.get(&daemon);
        let record = Subscriber {
            applied,
            pushed: known.map_or(applied, |k| k.pushed.max(applied)),
            until: known.map_or(until, |k| k.until.max(until)),
        };
        let moved = known.is_none_or(|k| k.applied != applied);
        self.dirty |= moved;
        self.subscribers.insert(daemon, record);
    }

    /// Forgets daemons whose lease has surely ended.
    pub fn expire(&mut self, now: Millis) {
        let before = self.subscribers.len();
        self.subscribers.retain(|_, s| now < s.until);
        self.dirty |= self.subscribers.len() != before;
    }

    /// Counts the daemons by applied revision, in at most [`MAX_COUNTS`] groups. Groups beyond
    /// that are joined under their lower revision, so that nothing is counted too high.
    pub fn counts(&self, now: Millis) -> Vec<AppliedCount> {
        let mut groups = BTreeMap::<Revision, u32>::new();
        for subscriber in self.subscribers.values().filter(|s| now < s.until) {
            *groups.entry(subscriber.applied).or_default() += 1;
        }
        let mut counts = Vec::with_capacity(groups.len());
        for (revision, daemons) in groups {
            counts.push(AppliedCount { revision, daemons });
        }
        while counts.len() > MAX_COUNTS {
            let joined = counts.remove(1).daemons;
            counts[0].daemons += joined;
        }
        counts
    }
}

/// Returns the longest lease that a feeder may give out of its own.
pub fn lease_within(timing: Timing, lease: &FeedLease, now: Millis) -> Millis {
    let left = shorten(lease.until.since(now)).since(Millis(2));
    left.min(timing.feed_lease)
}
