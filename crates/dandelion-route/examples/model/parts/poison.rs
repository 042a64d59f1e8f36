//! Scenario: requests that crash every engine that runs them are resent without end through several
//! owners.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dandelion_kernel::Machine;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_route::poison::Status;
use dandelion_route::poison::SuspectNote;
use dandelion_route::poison::Suspects;
use dandelion_route::poison::trial_owner;
use dandelion_route::queue::Action;
use dandelion_route::queue::Arrival;
use dandelion_route::queue::Finish;
use dandelion_route::queue::OwnerQueue;
use dandelion_route::queue::QueueEvent;
use dandelion_route::queue::QueueSettings;
use dandelion_route::registry::Change;
use dandelion_route::ticket::Fingerprint;
use dandelion_route::ticket::Ticket;
use dandelion_route::ticket::Work;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use super::owner::announce;

const OWNERS: usize = 3;
const ENGINES: usize = 4;
const SLOTS: u32 = 4;
const POISONS: u64 = 6;
const INNOCENTS: u64 = 6000;
const END_MS: u64 = 120_000;
const NOTE_DELAY_MS: u64 = 5;
const CRASH_MS: u64 = 100;
const RESTART_MS: u64 = 10_000;
const ANSWER_MS: u64 = 400;
const TIMEOUT_MS: u64 = 20_000;

/// Number of times that the caller of an innocent request sends it at most.
const MAX_TRIES: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send(u64),
    Done {
        owner: usize,
        ticket: u64,
    },
    Crash {
        owner: usize,
        engine: usize,
        boot: u64,
    },
    Join {
        owner: usize,
        engine: usize,
    },
    Note {
        fingerprint: u64,
        mark: Status,
    },
    Tick,
}

struct Zone {
    owners: Vec<OwnerQueue>,
    names: Vec<DaemonId>,
    entry: Suspects,
    boots: Vec<Vec<u64>>,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: SmallRng,
    tickets: Vec<(u64, bool)>,
    tries: Vec<u32>,
    answered: Vec<bool>,
    refused: Vec<bool>,
    lost: u64,
}

/// Returns whether a request is poison: those with the lowest numbers are.
fn is_poison(request: u64) -> bool {
    request < POISONS
}

impl Zone {
    fn open(seed: u64) -> Self {
        let settings = || QueueSettings::new("draft".parse().expect("name"));
        let total = (POISONS + INNOCENTS) as usize;
        let mut zone = Self {
            owners: (0..OWNERS).map(|_| OwnerQueue::open(settings())).collect(),
            names: (0..OWNERS)
                .map(|n| format!("d{n}").parse().expect("name"))
                .collect(),
            entry: Suspects::default(),
            boots: vec![vec![1; ENGINES]; OWNERS],
            heap: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            tickets: Vec::new(),
            tries: vec![0; total],
            answered: vec![false; total],
            refused: vec![false; total],
            lost: 0,
        };
        for owner in 0..OWNERS {
            for engine in 0..ENGINES {
                zone.push(0, Event::Join { owner, engine });
            }
        }
        for request in 0..total as u64 {
            let at = zone.rng.random_range(1..END_MS / 2);
            zone.push(at, Event::Send(request));
        }
        (0..END_MS / 100).for_each(|n| zone.push(n * 100, Event::Tick));
        zone
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Send(request) => self.send(now, request),
            Event::Done { owner, ticket } => {
                let (request, running) = self.tickets[ticket as usize];
                if running {
                    self.tickets[ticket as usize].1 = false;
                    self.answered[request as usize] = true;
                    self.feed(now, owner, finished(ticket));
                }
            }
            Event::Crash {
                owner,
                engine,
                boot,
            } => self.crash(now, owner, engine, boot),
            Event::Join { owner, engine } => {
                let name = format!("engine-{owner}-{engine}");
                let announcement = announce(&name, self.boots[owner][engine], SLOTS);
                self.feed(
                    now,
                    owner,
                    QueueEvent::Upstream(Change::Joined(announcement)),
                );
            }
            Event::Note { fingerprint, mark } => {
                let fingerprint = Fingerprint(fingerprint);
                let note = SuspectNote { fingerprint, mark };
                self.entry.merge(Millis(now), note);
                for owner in 0..OWNERS {
                    self.feed(now, owner, QueueEvent::Notes(vec![note]));
                }
            }
            Event::Tick => (0..OWNERS).for_each(|owner| self.feed(now, owner, QueueEvent::Tick)),
        }
    }

    fn send(&mut self, now: u64, request: u64) {
        self.tries[request as usize] += 1;
        let fingerprint = Fingerprint(request);
        let suspect = self.entry.status(fingerprint).is_some();
        let trial = trial_owner(fingerprint, &self.names).filter(|_| suspect);
        let drawn = self.rng.random_range(0..OWNERS);
        let owner = trial.map_or(drawn, |trial| {
            let found = self.names.iter().position(|name| name == trial);
            found.unwrap_or(drawn)
        });
        let ticket = self.tickets.len() as u64;
        self.tickets.push((request, false));
        let arrival = Arrival {
            ticket: Ticket(ticket),
            team: None,
            class: Class::Interactive,
            work: work(),
            deadline: Millis(now + TIMEOUT_MS),
            fingerprint,
            prefix: None,
            resumable: false,
            software: SoftwareVersion::default(),
        };
        self.feed(now, owner, QueueEvent::Arrive(arrival));
    }

    fn feed(&mut self, now: u64, owner: usize, event: QueueEvent) {
        let mut actions = Vec::new();
        self.owners[owner].handle(Millis(now), event, &mut actions);
        for action in actions {
            self.carry_out(now, owner, action);
        }
    }

    fn carry_out(&mut self, now: u64, owner: usize, action: Action) {
        match action {
            Action::Dispatch {
                ticket,
                upstream,
                boot,
                ..
            } => self.start(now, owner, ticket.0, &upstream, boot),
            Action::Refuse { ticket, refusal } => {
                let (request, _) = self.tickets[ticket.0 as usize];
                self.refused[request as usize] = true;
                let after = refusal.retry_after.unwrap_or_default();
                self.schedule_resend(now + after.0, request);
            }
            Action::Lost { ticket } => {
                let (request, _) = self.tickets[ticket.0 as usize];
                self.tickets[ticket.0 as usize].1 = false;
                self.schedule_resend(now, request);
            }
            Action::Note(note) => {
                let fingerprint = note.fingerprint.0;
                let mark = note.mark;
                self.push(now + NOTE_DELAY_MS, Event::Note { fingerprint, mark });
            }
            _ => {}
        }
    }

    fn start(&mut self, now: u64, owner: usize, ticket: u64, up: &UpstreamId, boot: Incarnation) {
        self.tickets[ticket as usize].1 = true;
        let (request, _) = self.tickets[ticket as usize];
        let engine = up.as_str().rsplit('-').next().and_then(|n| n.parse().ok());
        let engine = engine.expect("engine number");
        let boot = boot.0;
        if is_poison(request) {
            let crash = Event::Crash {
                owner,
                engine,
                boot,
            };
            self.push(now + CRASH_MS, crash);
        } else {
            self.push(now + ANSWER_MS, Event::Done { owner, ticket });
        }
    }

    /// Schedules the caller's resend after `now`: of poison without end, of others a few times.
    fn schedule_resend(&mut self, now: u64, request: u64) {
        if is_poison(request) || self.tries[request as usize] < MAX_TRIES {
            let pause = self.rng.random_range(NOTE_DELAY_MS + 1..500);
            if now + pause < END_MS {
                self.push(now + pause, Event::Send(request));
            }
        }
    }

    fn crash(&mut self, now: u64, owner: usize, engine: usize, boot: u64) {
        if self.boots[owner][engine] != boot {
            return;
        }
        self.lost += 1;
        self.boots[owner][engine] += 1;
        let name = format!("engine-{owner}-{engine}");
        let crashed = QueueEvent::Crashed {
            upstream: name.parse().expect("name"),
            boot: Incarnation(boot),
        };
        self.feed(now, owner, crashed);
        self.push(now + RESTART_MS, Event::Join { owner, engine });
    }
}

fn work() -> Work {
    Work {
        prompt: 0,
        output: 40,
    }
}

fn finished(ticket: u64) -> QueueEvent {
    QueueEvent::Finished {
        ticket: Ticket(ticket),
        finish: Finish::Clean,
        work: work(),
        latency: Millis(ANSWER_MS),
    }
}

/// Runs the scenario. Without isolation, each send of a poison request would cost an engine.
pub fn measure(seed: u64) -> Value {
    let mut zone = Zone::open(seed);
    while let Some(Reverse((now, _, event))) = zone.heap.pop() {
        zone.handle(now, event);
    }
    let innocents = POISONS as usize..(POISONS + INNOCENTS) as usize;
    let sent: u32 = zone.tries[..POISONS as usize].iter().sum();
    json!({
        "upstreams_lost_per_poison": zone.lost as f64 / POISONS as f64,
        "poison_sent": sent,
        "innocents": INNOCENTS,
        "innocents_refused_once": innocents.clone().filter(|n| zone.refused[*n]).count(),
        "innocents_refused": innocents.filter(|n| !zone.answered[*n]).count(),
    })
}
