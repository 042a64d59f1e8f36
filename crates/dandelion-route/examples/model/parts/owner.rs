//! The owner's queue as a policy of the simulation.

use std::collections::BTreeMap;

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::PriceKind;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_protocol::upstream::UpstreamKind;
use dandelion_protocol::usage::Class;
use dandelion_route::queue::Action;
use dandelion_route::queue::Arrival;
use dandelion_route::queue::Finish;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::queue::QueueSettings;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::PrefixHash;
use dandelion_route::ticket::Ticket;

use super::run::Decision;
use super::run::Ended;
use super::run::Policy;
use super::workload::Request;

/// One owner with the engines that it dispatches to.
pub struct Owner {
    /// Queue under test.
    pub queue: OwnerQueue,
    affinity: bool,
    names: BTreeMap<UpstreamId, usize>,
}

/// Returns the announcement of an engine whose slow start is over.
pub fn announce(name: &str, boot: u64, slots: u32) -> Announcement {
    Announcement {
        upstream: name.parse().expect("name"),
        boot: Incarnation(boot),
        sequence: 100,
        zone: "a".parse().expect("name"),
        address: "127.0.0.1:1".to_owned(),
        service: "draft".parse().expect("name"),
        kind: UpstreamKind::Engine,
        price: PriceKind::Regular,
        capacity: slots,
        version: None,
        checks_fencing: true,
        resumes: true,
        leaving: false,
        load: ReportedLoad::default(),
        software: SoftwareVersion::default(),
    }
}

impl Owner {
    /// Opens an owner of `engines`, numbered from `first`, with or without prefix affinity.
    pub fn open(first: usize, engines: usize, slots: u32, affinity: bool) -> Self {
        let settings = QueueSettings::new("draft".parse().expect("name"));
        let mut queue = OwnerQueue::open(settings);
        let mut names = BTreeMap::new();
        for n in first..first + engines {
            let announcement = announce(&format!("engine-{n}"), 1, slots);
            names.insert(announcement.upstream.clone(), n);
            let joined = QueueEvent::Upstream(Change::Joined(announcement));
            queue.handle(Millis(0), joined, &mut Vec::new());
        }
        Self {
            queue,
            affinity,
            names,
        }
    }

    fn feed(&mut self, now: u64, event: QueueEvent, decisions: &mut Vec<Decision>) {
        let mut actions = Vec::new();
        self.queue.handle(Millis(now), event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch {
                    ticket, upstream, ..
                } => decisions.push(Decision::Send(ticket.0, self.names[&upstream])),
                Action::Refuse { ticket, .. } => decisions.push(Decision::Refuse(ticket.0)),
                Action::Preempt { ticket } => decisions.push(Decision::Preempt(ticket.0)),
                _ => {}
            }
        }
    }
}

/// Returns the id of a team.
pub fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().expect("name")
}

impl Policy for Owner {
    fn arrive(&mut self, now: u64, request: &Request, decisions: &mut Vec<Decision>) {
        let arrival = Arrival {
            ticket: Ticket(request.id),
            team: Some(team(request.team)),
            class: request.class,
            work: request.predicted(),
            deadline: Millis(request.deadline),
            fingerprint: Fingerprint(request.id),
            prefix: self.affinity.then_some(PrefixHash(request.prefix)),
            resumable: request.class == Class::Rollout,
            software: SoftwareVersion::default(),
        };
        self.feed(now, QueueEvent::Arrive(arrival), decisions);
    }

    fn finish(&mut self, now: u64, end: &Ended<'_>, decisions: &mut Vec<Decision>) {
        let finish = if end.preempted {
            Finish::Preempted
        } else {
            Finish::Clean
        };
        let event = QueueEvent::Finished {
            ticket: Ticket(end.request.id),
            finish,
            work: end.request.work,
            latency: Millis(end.latency),
        };
        self.feed(now, event, decisions);
    }

    fn tick(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        self.feed(now, QueueEvent::Tick, decisions);
    }
}
