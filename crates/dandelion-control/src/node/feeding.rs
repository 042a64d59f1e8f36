//! A control daemon as a feeder: grants leases, pushes changes and reports to the leader; and the
//! leader's handling of those reports.

use std::collections::BTreeMap;

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;

use crate::feed::FeedMessage;
use crate::feed::Update;
use crate::feed::message::Grant;
use crate::feed::message::Push;
use crate::feed::message::Refuse;
use crate::feed::message::Renew;
use crate::feed::message::Report;
use crate::feed::message::ReportReply;
use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::node::feeder::FeedLease;
use crate::node::feeder::Waiting;
use crate::node::feeder::lease_within;
use crate::node::feeder_reports::FeederRecord;
use crate::node::feeder_reports::ReportSource;
use crate::node::recent_changes::RecentChanges;
use crate::node::status::Propagation;
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
            FeedMessage::ReportReply(reply) => {
                if reply.group == self.group() {
                    self.feeder_state.on_report_reply(&reply);
                }
            }
            FeedMessage::Grant(_) | FeedMessage::Push(_) | FeedMessage::Refuse(_) => {}
        }
    }

    fn group(&self) -> GroupId {
        self.replica.membership().group
    }

    /// Returns this feeder's own lease, if it is unexpired and its floor is applied. The holder
    /// of the leader lease gives itself one.
    fn feed_lease(&self, now: Millis) -> Option<FeedLease> {
        let lease = if self.leased_term(now, Millis::ZERO).is_some() {
            FeedLease {
                confirmed: self.replica.quorum_contact(now)?,
                until: now + lengthen(self.settings.timing.feed_lease),
                floor: self.revision(),
            }
        } else {
            self.feeder_state.lease?
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
            self.feeder_state
                .waiting
                .insert(from, Waiting { nonce, since: now });
            self.feeder_state.dirty = true;
            return;
        }
        self.feeder_state.images.acknowledge(&from, renew.applied);
        let Some(lease) = self.feed_lease(now) else {
            self.refuse(from, renew.nonce, actions);
            return;
        };
        if !self.grant(now, from.clone(), renew, &lease, actions) {
            let nonce = renew.nonce;
            self.feeder_state
                .waiting
                .insert(from, Waiting { nonce, since: now });
            self.feeder_state.dirty = true;
        }
    }

    /// Grants a lease. Returns false if the daemon needs an image and too many are in flight.
    fn grant(
        &mut self,
        now: Millis,
        to: DaemonId,
        renew: &Renew,
        lease: &FeedLease,
        actions: &mut Vec<NodeAction>,
    ) -> bool {
        let Some(update) = self.update_from(now, &to, renew) else {
            return false;
        };
        let length = lease_within(self.settings.timing, lease, now);
        let own = to.clone();
        self.feeder_state.subscribe(now, own, renew.applied, length);
        self.record_pushed(&to, update.to);
        let grant = Grant {
            nonce: renew.nonce,
            group: self.group(),
            lease: length,
            leader: self.leader().cloned(),
            update,
        };
        send_feed(to, &FeedMessage::Grant(grant), actions);
        true
    }

    /// Returns the changes that bring a daemon to this feeder's revision, or an image if it has no
    /// state or is too far behind. Returns none if it needs an image and too many are in flight.
    fn update_from(&mut self, now: Millis, daemon: &DaemonId, renew: &Renew) -> Option<Update> {
        let to = self.revision();
        let fresh = renew.group == GroupId::default();
        let held = self.recent_changes.since(renew.applied).filter(|_| !fresh);
        if let Some(changes) = held {
            return Some(Update {
                from: renew.applied,
                to,
                changes,
                image: None,
            });
        }
        let until = now + self.settings.timing.feed_lease;
        let images = &mut self.feeder_state.images;
        let image = images.take(daemon, &self.tables, until)?;
        Some(Update {
            from: renew.applied,
            to,
            changes: Vec::new(),
            image: Some(image),
        })
    }

    fn refuse(&self, to: DaemonId, nonce: u64, actions: &mut Vec<NodeAction>) {
        let leader = self.leader().cloned();
        let refuse = Refuse { nonce, leader };
        send_feed(to, &FeedMessage::Refuse(refuse), actions);
    }

    fn record_pushed(&mut self, daemon: &DaemonId, revision: Revision) {
        if let Some(subscriber) = self.feeder_state.subscribers.get_mut(daemon) {
            subscriber.pushed = subscriber.pushed.max(revision);
        }
    }

    /// Pushes new changes to all subscribers immediately. Subscribers that lack the same changes share
    /// one encoded message.
    pub(super) fn push_changes(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let group = self.group();
        let to = self.revision();
        let mut encoded = BTreeMap::<Revision, SharedBytes>::new();
        for (daemon, subscriber) in &mut self.feeder_state.subscribers {
            let from = subscriber.pushed;
            if !self.recent_changes.has_since(from) || now >= subscriber.until {
                continue;
            }
            let known = encoded.get(&from).cloned();
            let bytes = known.or_else(|| encode_push(&self.recent_changes, group, from, to));
            let Some(bytes) = bytes else {
                continue;
            };
            encoded.insert(from, bytes.clone());
            subscriber.pushed = to;
            actions.push(NodeAction::Send {
                to: daemon.clone(),
                message: MeshMessage::Feed(bytes),
            });
        }
    }

    fn on_report(
        &mut self,
        now: Millis,
        from: DaemonId,
        report: Report,
        actions: &mut Vec<NodeAction>,
    ) {
        let leads = self.leased_term(now, Millis::ZERO).is_some();
        if !leads || report.group != self.group() {
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
            incarnation: report.incarnation,
        };
        if !self.feeder_reports.record(source, report.nonce, record) {
            return;
        }
        let reply = ReportReply {
            nonce: report.nonce,
            group: report.group,
            lease,
            floor: self.revision(),
        };
        send_feed(from, &FeedMessage::ReportReply(reply), actions);
    }

    pub(super) fn tick_feeder(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        self.feeder_state.expire(now);
        self.feeder_state.images.expire(now);
        self.feeder_reports.expire(now);
        let period = self.settings.timing.feed_period;
        let late = |waiting: &Waiting| now >= waiting.since + period;
        let waiting = self.feeder_state.waiting.iter();
        let overdue = waiting.filter(|(_, w)| late(w));
        let overdue = overdue
            .map(|(d, w)| (d.clone(), w.nonce))
            .collect::<Vec<_>>();
        for (daemon, nonce) in overdue {
            self.feeder_state.waiting.remove(&daemon);
            self.refuse(daemon, nonce, actions);
        }
    }

    /// Grants leases to waiting daemons that may have one, and reports to the leader when due.
    pub(super) fn flush_feeder(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        if let Some(lease) = self.feed_lease(now) {
            self.grant_waiting(now, &lease, actions);
        }
        let period = self.settings.timing.feed_period;
        let gap = self.settings.timing.report_gap;
        let due = self.feeder_state.last_report.is_none_or(|at| {
            let wait = if self.feeder_state.dirty { gap } else { period };
            now >= at + wait
        });
        if due {
            self.report(now, actions);
        }
    }

    /// Grants leases to daemons without state. Each starts only from a state that a quorum
    /// confirmed after its request. The longest waiting come first, since images in flight are limited.
    fn grant_waiting(&mut self, now: Millis, lease: &FeedLease, actions: &mut Vec<NodeAction>) {
        let waiting = self.feeder_state.waiting.iter();
        let ready = waiting.filter(|(_, w)| w.since <= lease.confirmed);
        let mut ready = ready.map(|(d, w)| (d.clone(), *w)).collect::<Vec<_>>();
        ready.sort_by_key(|(_, waiting)| waiting.since);
        for (daemon, Waiting { nonce, .. }) in ready {
            let renew = Renew {
                nonce,
                group: GroupId::default(),
                applied: Revision(0),
            };
            if !self.grant(now, daemon.clone(), &renew, lease, actions) {
                return;
            }
            self.feeder_state.waiting.remove(&daemon);
        }
    }

    fn report(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let leader = self.leader().cloned();
        let Some(leader) = leader.filter(|l| *l != self.settings.daemon) else {
            return;
        };
        let report = Report {
            incarnation: self.feeder_state.incarnation,
            nonce: self.feeder_state.number_report(now),
            group: self.group(),
            applied: self.revision(),
            counts: self.feeder_state.counts(now),
        };
        send_feed(leader, &FeedMessage::Report(report), actions);
    }

    /// Returns how many daemons have applied `revision`; `None` unless this daemon holds the leader
    /// lease.
    pub fn propagation(&self, revision: Revision, now: Millis) -> Option<Propagation> {
        self.leased_term(now, Millis::ZERO)?;
        let own = FeederRecord {
            until: now,
            applied: self.revision(),
            counts: self.feeder_state.counts(now),
        };
        Some(self.feeder_reports.propagation(now, revision, &own))
    }
}

/// Encodes a push of the changes from one revision to another; none if they are no longer retained.
fn encode_push(
    recent: &RecentChanges,
    group: GroupId,
    from: Revision,
    to: Revision,
) -> Option<SharedBytes> {
    let update = Update {
        from,
        to,
        changes: recent.since(from)?,
        image: None,
    };
    let push = FeedMessage::Push(Push { group, update });
    codec::encode(&push).ok().map(SharedBytes::from)
}

fn send_feed(to: DaemonId, message: &FeedMessage, actions: &mut Vec<NodeAction>) {
    if let Ok(bytes) = codec::encode(message) {
        let message = MeshMessage::Feed(bytes.into());
        actions.push(NodeAction::Send { to, message });
    }
}
