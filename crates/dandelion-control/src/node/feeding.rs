//! Feeding of daemons: leases, changes, and reports to the leader.

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use serde_bytes::ByteBuf;

use crate::feed::FeedMessage;
use crate::feed::Update;
use crate::feed::message::Grant;
use crate::feed::message::Licence;
use crate::feed::message::Push;
use crate::feed::message::Refuse;
use crate::feed::message::Renew;
use crate::feed::message::Report;
use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::node::feeder::FeedLease;
use crate::node::feeder::Waiting;
use crate::node::feeder::lease_within;
use crate::node::feeder_reports::FeederRecord;
use crate::node::feeder_reports::ReportSource;
use crate::node::status::InForce;
use crate::raft::GroupId;
use crate::storage::Storage;
use crate::timing::lengthen;

impl<S> ControlNode<S>
where
    S: Storage,
{
    pub(super) fn on_feed(
        &mut self,
        now: Millis,
        from: DaemonId,
        message: FeedMessage,
        actions: &mut Vec<NodeAction>,
    ) {
        match message {
            FeedMessage::Renew(renew) => self.on_renew(now, from, &renew, actions),
            FeedMessage::Report(report) => self.on_report(now, from, report, actions),
            FeedMessage::Licence(licence) => {
                if licence.group == self.group() {
                    self.feeding.take_licence(&licence);
                }
            }
            FeedMessage::Grant(_) | FeedMessage::Push(_) | FeedMessage::Refuse(_) => {}
        }
    }

    fn group(&self) -> GroupId {
        self.replica.membership().group
    }

    /// Returns this feeder's own lease, if it may be used now.
    fn feed_lease(&self, now: Millis) -> Option<FeedLease> {
        let lease = if self.in_charge(now, Millis::ZERO).is_some() {
            FeedLease {
                confirmed: self.replica.quorum_contact(now)?,
                until: now + lengthen(self.settings.timing.feed_lease),
                floor: self.revision(),
            }
        } else {
            self.feeding.lease?
        };
        let usable = now < lease.until && self.revision() >= lease.floor;
        usable.then_some(lease)
    }

    fn on_renew(
        &mut self,
        now: Millis,
        from: DaemonId,
        renew: &Renew,
        actions: &mut Vec<NodeAction>,
    ) {
        let fresh = renew.group == GroupId::default();
        let foreign = !fresh && renew.group != self.group();
        if foreign || renew.applied > self.revision() {
            self.refuse(from, renew.nonce, actions);
            return;
        }
        if fresh {
            let nonce = renew.nonce;
            self.feeding
                .waiting
                .insert(from, Waiting { nonce, since: now });
            self.feeding.dirty = true;
            return;
        }
        match self.feed_lease(now) {
            Some(lease) => self.grant(now, from, renew, &lease, actions),
            None => self.refuse(from, renew.nonce, actions),
        }
    }

    fn grant(
        &mut self,
        now: Millis,
        to: DaemonId,
        renew: &Renew,
        lease: &FeedLease,
        actions: &mut Vec<NodeAction>,
    ) {
        let Some(update) = self.update_from(renew) else {
            return;
        };
        let length = lease_within(self.settings.timing, lease, now);
        let own = to.clone();
        self.feeding.subscribe(now, own, renew.applied, length);
        self.note_pushed(&to, update.to);
        let grant = Grant {
            nonce: renew.nonce,
            group: self.group(),
            lease: length,
            leader: self.leader().cloned(),
            update,
        };
        send_feed(to, &FeedMessage::Grant(grant), actions);
    }

    /// Returns what brings a daemon to this feeder's revision.
    fn update_from(&self, renew: &Renew) -> Option<Update> {
        let to = self.revision();
        let fresh = renew.group == GroupId::default();
        let held = self.spread.since(renew.applied).filter(|_| !fresh);
        if let Some(changes) = held {
            return Some(Update {
                from: renew.applied,
                to,
                changes,
                image: None,
            });
        }
        let image = self.tables.spread_image().ok()?;
        Some(Update {
            from: renew.applied,
            to,
            changes: Vec::new(),
            image: Some(ByteBuf::from(codec::encode(&image).ok()?)),
        })
    }

    fn refuse(&self, to: DaemonId, nonce: u64, actions: &mut Vec<NodeAction>) {
        let leader = self.leader().cloned();
        let refuse = Refuse { nonce, leader };
        send_feed(to, &FeedMessage::Refuse(refuse), actions);
    }

    fn note_pushed(&mut self, daemon: &DaemonId, revision: Revision) {
        if let Some(subscriber) = self.feeding.subscribers.get_mut(daemon) {
            subscriber.pushed = subscriber.pushed.max(revision);
        }
    }

    /// Passes new changes on to all daemons at once.
    pub(super) fn push_changes(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let group = self.group();
        let to = self.revision();
        for (daemon, subscriber) in &mut self.feeding.subscribers {
            let from = subscriber.pushed;
            if !self.spread.has_since(from) || now >= subscriber.until {
                continue;
            }
            let Some(changes) = self.spread.since(from) else {
                continue;
            };
            subscriber.pushed = to;
            let update = Update {
                from,
                to,
                changes,
                image: None,
            };
            let push = FeedMessage::Push(Push { group, update });
            send_feed(daemon.clone(), &push, actions);
        }
    }

    fn on_report(
        &mut self,
        now: Millis,
        from: DaemonId,
        report: Report,
        actions: &mut Vec<NodeAction>,
    ) {
        let in_charge = self.in_charge(now, Millis::ZERO).is_some();
        if !in_charge || report.group != self.group() {
            return;
        }
        let lease = self.settings.timing.feed_lease;
        let record = FeederRecord {
            until: now + lengthen(lease),
            applied: report.applied,
            counts: report.counts,
        };
        let source = ReportSource {
            feeder: from.clone(),
            life: report.life,
        };
        if !self.ledger.record(source, report.nonce, record) {
            return;
        }
        let licence = Licence {
            nonce: report.nonce,
            group: report.group,
            lease,
            floor: self.revision(),
        };
        send_feed(from, &FeedMessage::Licence(licence), actions);
    }

    pub(super) fn tick_feeding(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        self.feeding.expire(now);
        self.ledger.expire(now);
        let period = self.settings.timing.feed_period;
        let late = |waiting: &Waiting| now >= waiting.since + period;
        let waiting = self.feeding.waiting.iter();
        let overdue = waiting.filter(|(_, w)| late(w));
        let overdue = overdue
            .map(|(d, w)| (d.clone(), w.nonce))
            .collect::<Vec<_>>();
        for (daemon, nonce) in overdue {
            self.feeding.waiting.remove(&daemon);
            self.refuse(daemon, nonce, actions);
        }
    }

    /// Answers fresh daemons whose wait is over and reports to the leader.
    pub(super) fn flush_feeding(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        if let Some(lease) = self.feed_lease(now) {
            self.grant_waiting(now, &lease, actions);
        }
        let period = self.settings.timing.feed_period;
        let gap = self.settings.timing.report_gap;
        let due = self.feeding.reported.is_none_or(|at| {
            let wait = if self.feeding.dirty { gap } else { period };
            now >= at + wait
        });
        if due {
            self.report(now, actions);
        }
    }

    /// A fresh daemon begins only from a state that a quorum confirmed after it asked.
    fn grant_waiting(&mut self, now: Millis, lease: &FeedLease, actions: &mut Vec<NodeAction>) {
        let waiting = self.feeding.waiting.iter();
        let ready = waiting.filter(|(_, w)| w.since <= lease.confirmed);
        let ready = ready.map(|(d, w)| (d.clone(), w.nonce)).collect::<Vec<_>>();
        for (daemon, nonce) in ready {
            self.feeding.waiting.remove(&daemon);
            let renew = Renew {
                nonce,
                group: GroupId::default(),
                applied: Revision(0),
            };
            self.grant(now, daemon, &renew, lease, actions);
        }
    }

    fn report(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let leader = self.leader().cloned();
        let Some(leader) = leader.filter(|l| *l != self.settings.daemon) else {
            return;
        };
        let report = Report {
            life: self.feeding.life,
            nonce: self.feeding.number_report(now),
            group: self.group(),
            applied: self.revision(),
            counts: self.feeding.counts(now),
        };
        send_feed(leader, &FeedMessage::Report(report), actions);
    }

    /// Returns how many daemons have applied `revision`; only the leader knows.
    pub fn in_force(&self, revision: Revision, now: Millis) -> Option<InForce> {
        self.in_charge(now, Millis::ZERO)?;
        let own = FeederRecord {
            until: now,
            applied: self.revision(),
            counts: self.feeding.counts(now),
        };
        Some(self.ledger.in_force(now, revision, &own))
    }
}

fn send_feed(to: DaemonId, message: &FeedMessage, actions: &mut Vec<NodeAction>) {
    if let Ok(bytes) = codec::encode(message) {
        let message = MeshMessage::Feed(bytes);
        actions.push(NodeAction::Send { to, message });
    }
}
