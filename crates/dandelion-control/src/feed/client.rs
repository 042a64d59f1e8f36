//! The daemon's side of the feed: renews the lease and keeps a copy of the distributed tables.

use std::collections::VecDeque;

use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::feed::message::FeedMessage;
use crate::feed::message::Grant;
use crate::feed::message::Push;
use crate::feed::message::Refuse;
use crate::feed::message::Renew;
use crate::feed::message::TableChange;
use crate::feed::message::Update;
use crate::raft::GroupId;
use crate::timing::Timing;

/// Number of latest renewals whose send time is remembered; grants for older ones are ignored.
const MAX_SENT: usize = 64;

/// Consecutive renewals without a grant after which another feeder is tried.
const MAX_MISSED: u32 = 2;

/// A control daemon, as a source of the feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Feeder {
    /// Name of the control daemon.
    pub daemon: DaemonId,
    /// Availability zone of the control daemon.
    pub zone: ZoneId,
}

/// Settings of a [`FeedClient`].
#[derive(Debug, Clone)]
pub struct FeedSettings {
    /// Availability zone of this daemon; feeders in it are preferred.
    pub zone: ZoneId,
    /// Control daemons to choose a feeder from.
    pub feeders: Vec<Feeder>,
    /// Periods and leases.
    pub timing: Timing,
}

/// Input of the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent {
    /// Time has passed; renewals are sent when due.
    Tick,
    /// A feed message arrived; kinds that only a feeder or the leader handles are ignored.
    Message {
        /// Daemon that sent it.
        from: DaemonId,
        /// A [`FeedMessage`] as CBOR.
        bytes: SharedBytes,
    },
    /// The connection to a daemon was lost; if it is the feeder, another one is chosen immediately.
    Lost(DaemonId),
}

/// Output of the client.
#[derive(Debug, Clone, PartialEq)]
pub enum FeedAction {
    /// Send a message. The receiver may be this daemon itself, if it is a control daemon.
    Send {
        /// Daemon to send it to.
        to: DaemonId,
        /// Encoded feed message.
        message: Box<MeshMessage>,
    },
    /// The distributed tables changed.
    Applied {
        /// Revision of the copy after the change.
        revision: Revision,
    },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    nonce: u64,
    at: Millis,
}

/// A daemon's copy of the distributed tables and its lease.
#[derive(Debug)]
pub struct FeedClient {
    settings: FeedSettings,
    rng: SmallRng,
    tables: TableSet,
    group: GroupId,
    feeder: Option<DaemonId>,
    leader: Option<DaemonId>,
    sent: VecDeque<Sent>,
    nonce: u64,
    /// Periodic renewals sent since the last grant.
    missed: u32,
    /// Whether a renewal is due to acknowledge pushed changes or to request missing ones.
    ack_due: bool,
    last_ack: Millis,
    next_renewal: Millis,
    lease_until: Millis,
}

impl FeedClient {
    /// Opens a client without state and without a lease.
    pub fn open(settings: FeedSettings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nonce = rng.random::<u64>() >> 1;
        Self {
            settings,
            rng,
            tables: TableSet::open_distributed(),
            group: GroupId::default(),
            feeder: None,
            leader: None,
            sent: VecDeque::new(),
            nonce,
            missed: 0,
            ack_due: false,
            last_ack: Millis::ZERO,
            next_renewal: Millis::ZERO,
            lease_until: Millis::ZERO,
        }
    }

    /// Returns whether the lease is unexpired at `now`; keyed routes may be served only under it.
    pub fn lease_valid(&self, now: Millis) -> bool {
        now < self.lease_until
    }

    /// Returns when the lease ends on this daemon's clock; zero before the first grant.
    pub fn lease_end(&self) -> Millis {
        self.lease_until
    }

    /// Returns the revision of the copy; zero before the first grant.
    pub fn revision(&self) -> Revision {
        self.tables.revision()
    }

    /// Borrows the copy of the distributed tables.
    pub fn tables(&self) -> &TableSet {
        &self.tables
    }

    /// Returns the control leader, as last reported by a feeder.
    pub fn leader_hint(&self) -> Option<&DaemonId> {
        self.leader.as_ref()
    }

    /// Returns the feeder in use; `None` before the first renewal.
    pub fn feeder(&self) -> Option<&DaemonId> {
        self.feeder.as_ref()
    }

    /// Returns the availability zone of this daemon.
    pub fn zone(&self) -> &ZoneId {
        &self.settings.zone
    }

    /// Replaces the list of control daemons; the feeder in use stays if it is listed.
    pub fn set_feeders(&mut self, feeders: Vec<Feeder>) {
        let kept = feeders
            .iter()
            .any(|f| Some(&f.daemon) == self.feeder.as_ref());
        if !kept {
            self.feeder = None;
        }
        self.settings.feeders = feeders;
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: FeedEvent, actions: &mut Vec<FeedAction>) {
        match event {
            FeedEvent::Tick => self.tick(now, actions),
            FeedEvent::Lost(daemon) => {
                if self.feeder.as_ref() == Some(&daemon) {
                    self.switch_feeder(now);
                }
            }
            FeedEvent::Message { from, bytes } => {
                let Ok(message) = codec::decode(&bytes) else {
                    return;
                };
                self.receive(now, &from, message, actions);
                self.tick(now, actions);
            }
        }
    }

    fn receive(
        &mut self,
        now: Millis,
        from: &DaemonId,
        message: FeedMessage,
        actions: &mut Vec<FeedAction>,
    ) {
        match message {
            FeedMessage::Grant(grant) => self.on_grant(now, grant, actions),
            FeedMessage::Push(push) => self.on_push(&push, actions),
            FeedMessage::Refuse(refuse) => self.on_refuse(now, from, refuse),
            FeedMessage::Renew(_) | FeedMessage::Report(_) | FeedMessage::ReportReply(_) => {}
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<FeedAction>) {
        if now >= self.next_renewal {
            if self.missed >= MAX_MISSED {
                self.switch_feeder(now);
            }
            self.missed += 1;
            self.next_renewal = now + self.settings.timing.feed_period;
            self.renew(now, actions);
        }
        if self.ack_due && now >= self.last_ack + self.settings.timing.report_gap {
            self.ack_due = false;
            self.last_ack = now;
            self.renew(now, actions);
        }
    }

    /// Chooses another feeder at random: one in this daemon's zone if there is another, or any one
    /// after more than [`MAX_MISSED`] renewals without a grant.
    fn switch_feeder(&mut self, now: Millis) {
        let zone = &self.settings.zone;
        let current = self.feeder.take();
        let others = self.settings.feeders.iter();
        let others = others.filter(|f| Some(&f.daemon) != current.as_ref());
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|f| f.zone == *zone);
        let pool = if near.is_empty() || self.missed > MAX_MISSED {
            [near, far].concat()
        } else {
            near
        };
        self.feeder = match pool.len() {
            0 => current,
            n => Some(pool[self.rng.random_range(0..n)].daemon.clone()),
        };
        self.next_renewal = now;
    }

    fn renew(&mut self, now: Millis, actions: &mut Vec<FeedAction>) {
        if self.feeder.is_none() {
            self.switch_feeder(now);
        }
        let Some(to) = self.feeder.clone() else {
            return;
        };
        self.nonce += 1;
        self.sent.push_back(Sent {
            nonce: self.nonce,
            at: now,
        });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        let renew = Renew {
            nonce: self.nonce,
            group: self.group,
            applied: self.revision(),
        };
        if let Ok(bytes) = codec::encode(&FeedMessage::Renew(renew)) {
            let message = Box::new(MeshMessage::Feed(bytes.into()));
            actions.push(FeedAction::Send { to, message });
        }
    }

    fn on_grant(&mut self, now: Millis, grant: Grant, actions: &mut Vec<FeedAction>) {
        let sent = self.sent.iter().find(|sent| sent.nonce == grant.nonce);
        let Some(sent) = sent.copied() else {
            return;
        };
        let before = self.revision();
        if !self.accepts_group(grant.group) || !self.apply_update(&grant.update, actions) {
            self.switch_feeder(now);
            self.next_renewal = now + self.retry_delay();
            return;
        }
        let changed = grant.update.image.is_some() || !grant.update.changes.is_empty();
        if changed && self.revision() > before {
            self.next_renewal = now + self.settings.timing.report_gap;
        }
        self.group = grant.group;
        self.leader = grant.leader;
        self.missed = 0;
        self.lease_until = self.lease_until.max(sent.at + grant.lease);
    }

    /// Applies pushed changes. At most one renewal in each `report_gap` acknowledges them: more
    /// would evict the send times of earlier renewals before their grants arrive.
    fn on_push(&mut self, push: &Push, actions: &mut Vec<FeedAction>) {
        let fresh = self.group == GroupId::default();
        if fresh || push.group != self.group {
            return;
        }
        let before = self.revision();
        let applied = self.apply_update(&push.update, actions);
        self.ack_due |= !applied || self.revision() > before;
    }

    fn on_refuse(&mut self, now: Millis, from: &DaemonId, refuse: Refuse) {
        let expected = self.sent.iter().any(|sent| sent.nonce == refuse.nonce);
        if expected && self.feeder.as_ref() == Some(from) {
            self.leader = refuse.leader.or_else(|| self.leader.take());
            self.switch_feeder(now);
            self.next_renewal = now + self.retry_delay();
        }
    }

    /// Returns the wait before another feeder is tried after a refusal or an unusable grant.
    fn retry_delay(&self) -> Millis {
        Millis(self.settings.timing.feed_period.0 / 4)
    }

    fn accepts_group(&self, group: GroupId) -> bool {
        self.group == GroupId::default() || self.group == group
    }

    /// Applies an update and returns whether the copy is now at least at its revision.
    fn apply_update(&mut self, update: &Update, actions: &mut Vec<FeedAction>) -> bool {
        let before = self.revision();
        if update.to < before {
            return false;
        }
        let applied = match &update.image {
            Some(image) => self.restore_image(image, update.to),
            None => self.apply_changes(update),
        };
        let revision = self.revision();
        let changed = update.image.is_some() || !update.changes.is_empty();
        if applied && changed && revision > before {
            actions.push(FeedAction::Applied { revision });
        }
        applied
    }

    fn restore_image(&mut self, image: &[u8], to: Revision) -> bool {
        if to == self.revision() && self.group != GroupId::default() {
            return true;
        }
        let Ok(image) = codec::decode(image) else {
            return false;
        };
        self.tables.restore(&image).is_ok() && self.revision() == to
    }

    fn apply_changes(&mut self, update: &Update) -> bool {
        let held = self.revision();
        let known = self.group != GroupId::default() || update.from == Revision(0);
        if update.from > held || !known {
            return false;
        }
        let missing = update.changes.iter().filter(|c| c.revision > held);
        for change in missing {
            apply_change(&mut self.tables, change);
        }
        self.tables.skip_to(update.to);
        true
    }
}

/// Applies a change that took effect on the control daemons. Its request id is replaced by a unique
/// one, since the copy must not mistake a new change for a resend and skip it.
fn apply_change(tables: &mut TableSet, change: &TableChange) {
    let mut proposal = change.proposal.clone();
    proposal.id = RequestId(u128::from(change.revision.0));
    tables.apply(change.revision, &proposal);
}
