//! Event loop: requests, engines and a policy between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::engine::Engine;
use super::workload::Request;

/// Time between two ticks of a policy, in milliseconds.
const TICK_MS: u64 = 100;

/// What a policy decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Send a request to an engine.
    Send(u64, usize),
    /// Refuse a request as not run.
    Refuse(u64),
    /// Cancel a request at its engine and let it arrive again.
    Preempt(u64),
}

/// A way to place requests.
pub trait Policy {
    /// A request arrives.
    fn arrive(&mut self, now: u64, request: &Request, steps: &mut Vec<Step>);
    /// A request has ended at an engine after `latency`, or was preempted there.
    fn finish(&mut self, now: u64, end: &Ended<'_>, steps: &mut Vec<Step>);
    /// Time passes.
    fn tick(&mut self, now: u64, steps: &mut Vec<Step>);
}

/// A request that has ended at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Ended<'a> {
    /// Request.
    pub request: &'a Request,
    /// Time since it was sent, in milliseconds.
    pub latency: u64,
    /// Whether it was cancelled on the policy's word.
    pub preempted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done(u64, u32),
    Arrive(u64),
    Tick,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fate {
    /// Engine and time of sending.
    pub sent: Option<(usize, u64)>,
    /// When its answer was whole.
    pub answered: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether it was refused as not run though it was at an engine.
    pub untrue: bool,
    /// Cancellations in favour of others.
    pub preempted: u32,
    round: u32,
    running: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Fates by request.
    pub fates: Vec<Fate>,
    /// Engines at the end.
    pub engines: Vec<Engine>,
}

struct Run<'a, P> {
    requests: &'a [Request],
    policy: &'a mut P,
    slots: u32,
    engines: Vec<Engine>,
    fates: Vec<Fate>,
    heap: BinaryHeap<Reverse<(u64, Event)>>,
}

/// Runs `requests` through `policy` and `engines` with `slots` each.
pub fn run<P>(requests: &[Request], policy: &mut P, engines: Vec<Engine>, slots: u32) -> Outcome
where
    P: Policy,
{
    let end = requests.last().map_or(0, |r| r.at) + 60_000;
    let mut heap: BinaryHeap<_> = (0..end / TICK_MS)
        .map(|n| Reverse((n * TICK_MS, Event::Tick)))
        .collect();
    heap.extend(
        requests
            .iter()
            .map(|r| Reverse((r.at, Event::Arrive(r.id)))),
    );
    let mut run = Run {
        requests,
        policy,
        slots,
        engines,
        fates: vec![Fate::default(); requests.len()],
        heap,
    };
    while let Some(Reverse((now, event))) = run.heap.pop() {
        run.handle(now, event);
    }
    Outcome {
        fates: run.fates,
        engines: run.engines,
    }
}

impl<P> Run<'_, P>
where
    P: Policy,
{
    fn handle(&mut self, now: u64, event: Event) {
        let mut steps = Vec::new();
        match event {
            Event::Arrive(id) => {
                let request = &self.requests[id as usize];
                self.policy.arrive(now, request, &mut steps);
            }
            Event::Done(id, round) => self.done(now, id, round, &mut steps),
            Event::Tick => self.policy.tick(now, &mut steps),
        }
        for step in steps {
            self.carry_out(now, step);
        }
    }

    fn done(&mut self, now: u64, id: u64, round: u32, steps: &mut Vec<Step>) {
        let fate = &mut self.fates[id as usize];
        if fate.round != round || !fate.running {
            return;
        }
        fate.answered = Some(now);
        self.leave(now, id, false, steps);
    }

    fn leave(&mut self, now: u64, id: u64, preempted: bool, steps: &mut Vec<Step>) {
        let request = &self.requests[id as usize];
        let fate = &mut self.fates[id as usize];
        let Some((engine, sent)) = fate.sent else {
            return;
        };
        fate.running = false;
        fate.round += 1;
        let engine = &mut self.engines[engine];
        engine.running -= 1;
        engine.done += request.work.cost();
        let next = engine.waiting.pop_front();
        if let Some(next) = next {
            self.begin(now, next);
        }
        let ended = Ended {
            request,
            latency: now - sent,
            preempted,
        };
        self.policy.finish(now, &ended, steps);
    }

    fn begin(&mut self, now: u64, id: u64) {
        let fate = &mut self.fates[id as usize];
        let Some((engine, _)) = fate.sent else {
            return;
        };
        fate.running = true;
        let span = self.engines[engine].start(&self.requests[id as usize]);
        let event = Event::Done(id, fate.round);
        self.heap.push(Reverse((now + span.max(1), event)));
    }

    fn carry_out(&mut self, now: u64, step: Step) {
        match step {
            Step::Send(id, engine) => {
                self.fates[id as usize].sent = Some((engine, now));
                if self.engines[engine].running < self.slots {
                    self.begin(now, id);
                } else {
                    self.engines[engine].waiting.push_back(id);
                }
            }
            Step::Refuse(id) => {
                let fate = &mut self.fates[id as usize];
                fate.refused = true;
                fate.untrue |= fate.sent.is_some();
            }
            Step::Preempt(id) => self.preempt(now, id),
        }
    }

    fn preempt(&mut self, now: u64, id: u64) {
        if !self.fates[id as usize].running {
            return;
        }
        self.fates[id as usize].preempted += 1;
        let mut steps = Vec::new();
        self.leave(now, id, true, &mut steps);
        self.fates[id as usize].sent = None;
        self.policy
            .arrive(now, &self.requests[id as usize], &mut steps);
        for step in steps {
            self.carry_out(now, step);
        }
    }
}
