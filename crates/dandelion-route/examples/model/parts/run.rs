//! Simulation loop: a policy assigns requests to engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::engine::Engine;
use super::workload::Request;

/// Time between two ticks of a policy, in milliseconds.
const TICK_MS: u64 = 100;

/// A decision of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send a request to an engine.
    Send(u64, usize),
    /// Refuse a request, reported as not run.
    Refuse(u64),
    /// Cancel a request at its engine, after which it arrives again.
    Preempt(u64),
}

/// A way to assign requests to engines.
pub trait Policy {
    /// A request arrives.
    fn arrive(&mut self, now: u64, request: &Request, decisions: &mut Vec<Decision>);
    /// A request has ended at an engine after `latency`, or was preempted there.
    fn finish(&mut self, now: u64, end: &Ended<'_>, decisions: &mut Vec<Decision>);
    /// Time has passed; called at a fixed interval.
    fn tick(&mut self, now: u64, decisions: &mut Vec<Decision>);
}

/// A request that has ended at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Ended<'a> {
    /// Request that ended.
    pub request: &'a Request,
    /// Time since it was sent, in milliseconds.
    pub latency: u64,
    /// Whether the policy preempted it.
    pub preempted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Done(u64, u32),
    Arrive(u64),
    Tick,
}

/// Result of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestResult {
    /// Engine that it was last sent to, and when.
    pub sent: Option<(usize, u64)>,
    /// When its answer was complete.
    pub answered: Option<u64>,
    /// Whether it was refused.
    pub refused: bool,
    /// Whether it was refused as not run although it was at an engine.
    pub misreported: bool,
    /// Number of times that it was preempted.
    pub preempted: u32,
    round: u32,
    running: bool,
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Results by request id.
    pub results: Vec<RequestResult>,
    /// Engines in their final state.
    pub engines: Vec<Engine>,
}

struct Run<'a, P> {
    requests: &'a [Request],
    policy: &'a mut P,
    slots: u32,
    engines: Vec<Engine>,
    results: Vec<RequestResult>,
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
        results: vec![RequestResult::default(); requests.len()],
        heap,
    };
    while let Some(Reverse((now, event))) = run.heap.pop() {
        run.handle(now, event);
    }
    Outcome {
        results: run.results,
        engines: run.engines,
    }
}

impl<P> Run<'_, P>
where
    P: Policy,
{
    fn handle(&mut self, now: u64, event: Event) {
        let mut decisions = Vec::new();
        match event {
            Event::Arrive(id) => {
                let request = &self.requests[id as usize];
                self.policy.arrive(now, request, &mut decisions);
            }
            Event::Done(id, round) => self.done(now, id, round, &mut decisions),
            Event::Tick => self.policy.tick(now, &mut decisions),
        }
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }

    fn done(&mut self, now: u64, id: u64, round: u32, decisions: &mut Vec<Decision>) {
        let result = &mut self.results[id as usize];
        if result.round != round || !result.running {
            return;
        }
        result.answered = Some(now);
        self.release(now, id, false, decisions);
    }

    fn release(&mut self, now: u64, id: u64, preempted: bool, decisions: &mut Vec<Decision>) {
        let request = &self.requests[id as usize];
        let result = &mut self.results[id as usize];
        let Some((engine, sent)) = result.sent else {
            return;
        };
        result.running = false;
        result.round += 1;
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
        self.policy.finish(now, &ended, decisions);
    }

    fn begin(&mut self, now: u64, id: u64) {
        let result = &mut self.results[id as usize];
        let Some((engine, _)) = result.sent else {
            return;
        };
        result.running = true;
        let span = self.engines[engine].start(&self.requests[id as usize]);
        let event = Event::Done(id, result.round);
        self.heap.push(Reverse((now + span.max(1), event)));
    }

    fn carry_out(&mut self, now: u64, decision: Decision) {
        match decision {
            Decision::Send(id, engine) => {
                self.results[id as usize].sent = Some((engine, now));
                if self.engines[engine].running < self.slots {
                    self.begin(now, id);
                } else {
                    self.engines[engine].waiting.push_back(id);
                }
            }
            Decision::Refuse(id) => {
                let result = &mut self.results[id as usize];
                result.refused = true;
                result.misreported |= result.sent.is_some();
            }
            Decision::Preempt(id) => self.preempt(now, id),
        }
    }

    fn preempt(&mut self, now: u64, id: u64) {
        if !self.results[id as usize].running {
            return;
        }
        self.results[id as usize].preempted += 1;
        let mut decisions = Vec::new();
        self.release(now, id, true, &mut decisions);
        self.results[id as usize].sent = None;
        self.policy
            .arrive(now, &self.requests[id as usize], &mut decisions);
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }
}
