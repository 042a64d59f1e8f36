//! Announcements, arrivals and queues with default values.
#![allow(dead_code, reason = "each test file uses some of them")]

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::PriceKind;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_protocol::upstream::UpstreamKind;
use dandelion_protocol::usage::Class;
use dandelion_route::queue::Action;
use dandelion_route::queue::Arrival;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::queue::QueueSettings;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;

pub fn announce(name: &str, boot: u64, sequence: u64) -> Announcement {
    Announcement {
        upstream: name.parse().unwrap(),
        boot: Incarnation(boot),
        sequence,
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        service: "draft".parse().unwrap(),
        kind: UpstreamKind::Engine,
        price: PriceKind::Regular,
        capacity: 2,
        version: None,
        checks_fencing: true,
        resumes: true,
        leaving: false,
        load: ReportedLoad::default(),
        software: SoftwareVersion::default(),
    }
}

pub fn arrival(ticket: u64, team: &str, class: Class) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        team: Some(team.parse().unwrap()),
        class,
        work: Work {
            prompt: 0,
            output: 100,
        },
        deadline: Millis(60_000),
        fingerprint: Fingerprint(ticket),
        prefix: None,
        resumable: class == Class::Rollout,
        software: SoftwareVersion::default(),
    }
}

pub fn open_queue(upstreams: u32, capacity: u32) -> OwnerQueue {
    let mut queue = OwnerQueue::open(QueueSettings::new("draft".parse().unwrap()));
    for n in 0..upstreams {
        let mut announcement = announce(&format!("up-{n}"), 1, 1);
        announcement.capacity = capacity;
        feed(
            &mut queue,
            0,
            QueueEvent::Upstream(Change::Joined(announcement)),
        );
    }
    queue
}

pub fn feed(queue: &mut OwnerQueue, now: u64, event: QueueEvent) -> Vec<Action> {
    let mut actions = Vec::new();
    queue.handle(Millis(now), event, &mut actions);
    actions
}

/// Handles the arrival of an interactive request of team `t`.
pub fn send(queue: &mut OwnerQueue, now: u64, ticket: u64) -> Vec<Action> {
    let request = arrival(ticket, "t", Class::Interactive);
    feed(queue, now, QueueEvent::Arrive(request))
}

pub fn dispatched(actions: &[Action]) -> Vec<(u64, String)> {
    let found = actions.iter().filter_map(|action| match action {
        Action::Dispatch {
            ticket, upstream, ..
        } => Some((ticket.0, upstream.to_string())),
        _ => None,
    });
    found.collect()
}
