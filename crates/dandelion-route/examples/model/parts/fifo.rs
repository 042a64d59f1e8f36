//! Baseline: first come, first served, to the engine with the least in flight.

use std::collections::VecDeque;

use super::run::Ended;
use super::run::Policy;
use super::run::Step;
use super::workload::Request;

/// Requests that may wait.
const MAX_QUEUED: usize = 4096;

/// One queue for all teams; what has expired is refused when its turn comes.
pub struct Fifo {
    queue: VecDeque<(u64, u64)>,
    inflight: Vec<u32>,
    at: std::collections::BTreeMap<u64, usize>,
    slots: u32,
}

impl Fifo {
    /// Opens a queue before `engines` with `slots` each.
    pub fn open(engines: usize, slots: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            inflight: vec![0; engines],
            at: std::collections::BTreeMap::new(),
            slots,
        }
    }

    fn pump(&mut self, now: u64, steps: &mut Vec<Step>) {
        while let Some((engine, least)) = self.inflight.iter().enumerate().min_by_key(|(_, n)| **n)
        {
            if *least >= self.slots {
                return;
            }
            let Some((id, deadline)) = self.queue.pop_front() else {
                return;
            };
            if deadline <= now {
                steps.push(Step::Refuse(id));
                continue;
            }
            self.inflight[engine] += 1;
            self.at.insert(id, engine);
            steps.push(Step::Send(id, engine));
        }
    }
}

impl Policy for Fifo {
    fn arrive(&mut self, now: u64, request: &Request, steps: &mut Vec<Step>) {
        if self.queue.len() >= MAX_QUEUED {
            steps.push(Step::Refuse(request.id));
            return;
        }
        self.queue.push_back((request.id, request.deadline));
        self.pump(now, steps);
    }

    fn finish(&mut self, now: u64, end: &Ended<'_>, steps: &mut Vec<Step>) {
        if let Some(engine) = self.at.remove(&end.request.id) {
            self.inflight[engine] -= 1;
        }
        self.pump(now, steps);
    }

    fn tick(&mut self, now: u64, steps: &mut Vec<Step>) {
        self.pump(now, steps);
    }
}
