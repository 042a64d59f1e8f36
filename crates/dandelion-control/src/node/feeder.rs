//! State of a control daemon as a feeder: its subscribers and its own lease from the leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::message::AppliedCount;
use crate::feed::message::MAX_COUNTS;
use crate::feed::message::ReportReply;
use crate::node::images::Images;
use crate::timing::Timing;
use crate::timing::lengthen;
use crate::timing::shorten;

/// Number of latest reports whose send time is remembered; replies to older ones are ignored.
const MAX_SENT: usize = 16;

/// A daemon under a lease of this feeder.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// Revision that the daemon has acknowledged.
    pub applied: Revision,
    /// Latest revision sent to it, in a grant or a push.
    pub pushed: Revision,
    /// When its lease has ended on any clock within the drift bound.
    pub until: Millis,
}

/// A daemon without state that waits until a quorum has confirmed the leader after its request.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// Number of its latest renewal.
    pub nonce: u64,
    /// When that renewal arrived.
    pub since: Millis,
}

/// Lease of a feeder, within which it grants leases to daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedLease {
    /// Time at or after which a quorum still followed the leader.
    pub confirmed: Millis,
    /// End of the lease on this daemon's clock.
    pub until: Millis,
    /// Revision that the feeder must have applied before it uses the lease.
    pub floor: Revision,
}

#[derive(Debug, Clone, Copy)]
struct SentReport {
    nonce: u64,
    at: Millis,
}

/// State of a feeder.
#[derive(Debug)]
pub struct FeederState {
    /// Incarnation of this process, drawn at random.
    pub incarnation: u64,
    /// Daemons under a lease of this feeder.
    pub subscribers: BTreeMap<DaemonId, Subscriber>,
    /// Daemons that wait for an image: those without state, and those too far behind while too many
    /// images are in flight.
    pub waiting: BTreeMap<DaemonId, Waiting>,
    /// Images in flight to daemons.
    pub images: Images,
    /// Latest lease from the leader; the leader itself needs none.
    pub lease: Option<FeedLease>,
    /// Whether something changed that the leader has not been sent yet.
    pub dirty: bool,
    /// When the last report was sent.
    pub last_report: Option<Millis>,
    sent: VecDeque<SentReport>,
    nonce: u64,
}

impl FeederState {
    /// Starts without subscribers and without a lease.
    pub fn open(seed: u64) -> Self {
        Self {
            incarnation: seed.rotate_left(17),
            subscribers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            images: Images::default(),
            lease: None,
            dirty: true,
            last_report: None,
            sent: VecDeque::new(),
            nonce: seed >> 1,
        }
    }

    /// Returns the number of a report sent at `now` and remembers its send time.
    pub fn number_report(&mut self, now: Millis) -> u64 {
        self.nonce += 1;
        self.sent.push_back(SentReport {
            nonce: self.nonce,
            at: now,
        });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.last_report = Some(now);
        self.dirty = false;
        self.nonce
    }

    /// Adopts the lease in the leader's reply to a report, if it ends later than the present one.
    /// It counts from when the report was sent.
    pub fn on_report_reply(&mut self, reply: &ReportReply) {
        let sent = self.sent.iter().find(|s| s.nonce == reply.nonce);
        let Some(sent) = sent else {
            return;
        };
        let until = sent.at + reply.lease;
        let newer = self.lease.is_none_or(|held| held.until < until);
        if newer {
            self.lease = Some(FeedLease {
                confirmed: sent.at,
                until,
                floor: reply.floor,
            });
        }
    }

    /// Records a lease granted to a daemon and the revision that it has acknowledged.
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

    /// Removes daemons whose lease has ended.
    pub fn expire(&mut self, now: Millis) {
        let before = self.subscribers.len();
        self.subscribers.retain(|_, s| now < s.until);
        self.dirty |= self.subscribers.len() != before;
    }

    /// Counts the daemons by applied revision, in at most [`MAX_COUNTS`] counts. Surplus counts are
    /// merged into the lowest one, so that no daemon is counted at a revision it has not applied.
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
            let merged = counts.remove(1).daemons;
            counts[0].daemons += merged;
        }
        counts
    }
}

/// Returns the longest lease that a feeder may grant: at most `feed_lease`, and short enough to end
/// before the feeder's own also on a slow clock.
pub fn lease_within(timing: Timing, lease: &FeedLease, now: Millis) -> Millis {
    let remaining = shorten(lease.until.since(now)).since(Millis(2));
    remaining.min(timing.feed_lease)
}
