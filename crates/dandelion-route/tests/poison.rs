//! Requests that crash upstreams, and innocent requests that run beside them.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::poison::Status;
use dandelion_route::poison::SuspectNote;
use dandelion_route::poison::Suspects;
use dandelion_route::poison::trial_owner;
use dandelion_route::queue::Action;
use dandelion_route::queue::Finish;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use support::fixtures::announce;
use support::fixtures::arrival;
use support::fixtures::feed;
use support::fixtures::open_queue;
use support::fixtures::send;

const POISON: Fingerprint = Fingerprint(u64::MAX);

/// An owner, its upstreams, and callers that resend lost requests.
struct Simulation {
    queue: OwnerQueue,
    now: u64,
    next: u64,
    running: BTreeMap<u64, (Fingerprint, String)>,
    boots: BTreeMap<String, u64>,
    crashes: u32,
    answered: BTreeSet<Fingerprint>,
    refused: BTreeMap<Fingerprint, RefusalCode>,
    blocked: Vec<Fingerprint>,
    resend: Vec<Fingerprint>,
}

impl Simulation {
    fn open(upstreams: u32, capacity: u32) -> Self {
        Self {
            queue: open_queue(upstreams, capacity),
            now: 1,
            next: 0,
            running: BTreeMap::new(),
            boots: BTreeMap::new(),
            crashes: 0,
            answered: BTreeSet::new(),
            refused: BTreeMap::new(),
            blocked: Vec::new(),
            resend: Vec::new(),
        }
    }

    fn send(&mut self, fingerprint: Fingerprint) {
        self.next += 1;
        let mut request = arrival(self.next, "t", Class::Interactive);
        request.fingerprint = fingerprint;
        request.deadline = Millis(self.now + 1_000_000);
        self.running.insert(self.next, (fingerprint, String::new()));
        self.feed(QueueEvent::Arrive(request));
    }

    fn feed(&mut self, event: QueueEvent) {
        for action in feed(&mut self.queue, self.now, event) {
            match action {
                Action::Dispatch {
                    ticket, upstream, ..
                } => self.running.get_mut(&ticket.0).unwrap().1 = upstream.to_string(),
                Action::Refuse { ticket, refusal } => {
                    let (fingerprint, _) = self.running.remove(&ticket.0).unwrap();
                    self.refused.insert(fingerprint, refusal.code);
                }
                Action::Lost { ticket } => {
                    let (fingerprint, _) = self.running.remove(&ticket.0).unwrap();
                    self.resend.push(fingerprint);
                }
                Action::Block(fingerprint) => self.blocked.push(fingerprint),
                _ => {}
            }
        }
    }

    /// Lets every running request end: a poison request crashes its upstream, others answer.
    fn round(&mut self) {
        self.now += 1000;
        let poisoned = self
            .running
            .values()
            .find(|(f, up)| *f == POISON && !up.is_empty());
        if let Some((_, upstream)) = poisoned.cloned() {
            self.crash(&upstream);
        }
        let done: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, (_, up))| !up.is_empty())
            .map(|(t, _)| *t)
            .collect();
        for ticket in done {
            if self.running.get(&ticket).is_none_or(|(f, _)| *f == POISON) {
                continue;
            }
            let (fingerprint, _) = self.running.remove(&ticket).unwrap();
            self.answered.insert(fingerprint);
            self.feed(QueueEvent::Finished {
                ticket: Ticket(ticket),
                finish: Finish::Clean,
                work: Work {
                    prompt: 0,
                    output: 100,
                },
                latency: Millis(1000),
            });
        }
        for fingerprint in std::mem::take(&mut self.resend) {
            self.send(fingerprint);
        }
        self.feed(QueueEvent::Tick);
    }

    fn crash(&mut self, upstream: &str) {
        self.crashes += 1;
        let boot = self.boots.entry(upstream.to_owned()).or_insert(1);
        let old = Incarnation(*boot);
        *boot += 1;
        let mut announcement = announce(upstream, *boot, 1);
        announcement.capacity = 4;
        let upstream = upstream.parse().unwrap();
        self.feed(QueueEvent::Crashed {
            upstream,
            boot: old,
        });
        self.feed(QueueEvent::Upstream(Change::Joined(announcement)));
    }
}

/// In any mix of requests, a poison request crashes exactly two upstreams and every innocent
/// request is answered.
#[test]
fn two_crashes() {
    fn holds(upstreams: u8, innocents: u8, position: u8) -> bool {
        let mut simulation = Simulation::open(u32::from(upstreams % 6) + 1, 4);
        let innocents = u64::from(innocents % 40);
        for n in 0..innocents {
            simulation.send(Fingerprint(n + 1));
            if n % 5 == u64::from(position % 5) {
                simulation.round();
            }
            if n == u64::from(position) % innocents {
                simulation.send(POISON);
            }
        }
        for _ in 0..200 {
            if !simulation.running.values().any(|(f, _)| *f == POISON) {
                simulation.send(POISON);
            }
            simulation.round();
        }
        let all_answered = (1..=innocents).all(|n| simulation.answered.contains(&Fingerprint(n)));
        let only_poison = simulation.refused.keys().all(|f| *f == POISON);
        simulation.crashes == 2 && all_answered && only_poison && simulation.blocked == [POISON]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(200)
        .quickcheck(holds as fn(u8, u8, u8) -> bool);
}

#[test]
fn blocked_refusal() {
    let mut queue = open_queue(1, 1);
    let mark = Status::Blocked;
    let fingerprint = POISON;
    feed(
        &mut queue,
        1,
        QueueEvent::Notes(vec![SuspectNote { fingerprint, mark }]),
    );
    let mut request = arrival(1, "t", Class::Interactive);
    request.fingerprint = POISON;
    let actions = feed(&mut queue, 2, QueueEvent::Arrive(request));
    let [Action::Refuse { refusal, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(
        (refusal.code, refusal.ran),
        (RefusalCode::Poisoned, Ran::Ran)
    );
}

#[test]
fn notes_come_first() {
    let mut queue = open_queue(1, 4);
    for ticket in 1..=3 {
        send(&mut queue, 1, ticket);
    }
    let upstream = "up-0".parse().unwrap();
    let boot = Incarnation(1);
    let actions = feed(&mut queue, 2, QueueEvent::Crashed { upstream, boot });
    let notes = actions
        .iter()
        .take_while(|a| matches!(a, Action::Note(_)))
        .count();
    let lost = actions
        .iter()
        .filter(|a| matches!(a, Action::Lost { .. }))
        .count();
    assert_eq!((notes, lost, actions.len()), (3, 3, 6));
}

#[test]
fn copies_preempted() {
    let mut queue = open_queue(3, 1);
    for ticket in 1..=3 {
        let mut copy = arrival(ticket, "t", Class::Rollout);
        copy.fingerprint = POISON;
        feed(&mut queue, 1, QueueEvent::Arrive(copy));
    }
    let upstream = "up-0".parse().unwrap();
    let boot = Incarnation(1);
    let actions = feed(&mut queue, 2, QueueEvent::Crashed { upstream, boot });
    let preempted = actions
        .iter()
        .filter(|a| matches!(a, Action::Preempt { .. }))
        .count();
    assert_eq!(preempted, 2);
}

#[test]
fn planned_stop() {
    let mut queue = open_queue(1, 4);
    send(&mut queue, 1, 1);
    let upstream: dandelion_protocol::ids::UpstreamId = "up-0".parse().unwrap();
    feed(
        &mut queue,
        2,
        QueueEvent::Upstream(Change::Leaving(upstream.clone())),
    );
    let boot = Incarnation(1);
    let actions = feed(&mut queue, 3, QueueEvent::Crashed { upstream, boot });
    assert_eq!(actions, vec![Action::Lost { ticket: Ticket(1) }]);
}

#[test]
fn shared_crashes() {
    let mut suspects = Suspects::default();
    for now in 0..5 {
        let note = suspects.crash(Millis(now), POISON, false);
        assert_eq!(note.mark, Status::Suspect);
    }
    let note = suspects.crash(Millis(6), POISON, true);
    assert_eq!(note.mark, Status::Blocked);
}

#[test]
fn cleared_suspect() {
    let mut queue = open_queue(2, 2);
    let mark = Status::Suspect;
    let fingerprint = Fingerprint(1);
    let note = SuspectNote { fingerprint, mark };
    feed(&mut queue, 1, QueueEvent::Notes(vec![note]));
    let request = QueueEvent::Arrive(arrival(1, "t", Class::Interactive));
    let sent = feed(&mut queue, 2, request.clone());
    assert!(matches!(sent[..], [Action::Dispatch { alone: true, .. }]));
    let finished = QueueEvent::Finished {
        ticket: Ticket(1),
        finish: Finish::Clean,
        work: Work::default(),
        latency: Millis(10),
    };
    let mark = Status::Cleared;
    let note = SuspectNote { fingerprint, mark };
    let actions = feed(&mut queue, 3, finished);
    assert_eq!(actions, vec![Action::Note(note)]);
    let sent = feed(&mut queue, 4, request);
    assert!(matches!(sent[..], [Action::Dispatch { alone: false, .. }]));
}

#[test]
fn lifted_block() {
    let mut suspects = Suspects::default();
    suspects.crash(Millis(0), POISON, false);
    suspects.crash(Millis(0), POISON, true);
    suspects.set_blocked([]);
    assert_eq!(
        suspects.status(POISON),
        Some(Status::Blocked),
        "not yet in the configuration"
    );
    suspects.set_blocked([POISON]);
    suspects.set_blocked([]);
    assert_eq!(suspects.status(POISON), None, "lifted by an operator");
}

#[test]
fn one_trial_owner() {
    let owners: Vec<dandelion_protocol::ids::DaemonId> =
        (0..9).map(|n| format!("d{n}").parse().unwrap()).collect();
    let forward = trial_owner(POISON, &owners);
    let backward = trial_owner(POISON, owners.iter().rev());
    assert!(forward.is_some() && forward == backward);
}
