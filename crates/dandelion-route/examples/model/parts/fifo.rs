//! Baseline: first come, first served, to the engine with the fewest requests in flight.

use std::collections::VecDeque;

use super::run::Decision;
use super::run::Ended;
use super::run::Policy;
use super::workload::Request;

/// Requests that may wait.
const MAX_QUEUED: usize = 4096;

/// One queue for all teams; an expired request is refused when it reaches the head.
pub struct Fifo {
    queue: VecDeque<(u64, u64)>,
    inflight: Vec<u32>,
    running_at: std::collections::BTreeMap<u64, usize>,
    slots: u32,
}

impl Fifo {
    /// Opens a queue for `engines` with `slots` each.
    pub fn open(engines: usize, slots: u32) -> Self {
        Self {
            queue: VecDeque::new(),
            inflight: vec![0; engines],
            running_at: std::collections::BTreeMap::new(),
            slots,
        }
    }

    fn dispatch(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        while let Some((engine, least)) = self.inflight.iter().enumerate().min_by_key(|(_, n)| **n)
        {
            if *least >= self.slots {
                return;
            }
            let Some((id, deadline)) = self.queue.pop_front() else {
                return;
            };
            if deadline <= now {
                decisions.push(Decision::Refuse(id));
                continue;
            }
            self.inflight[engine] += 1;
            self.running_at.insert(id, engine);
            decisions.push(Decision::Send(id, engine));
        }
    }
}

impl Policy for Fifo {
    fn arrive(&mut self, now: u64, request: &Request, decisions: &mut Vec<Decision>) {
        if self.queue.len() >= MAX_QUEUED {
            decisions.push(Decision::Refuse(request.id));
            return;
        }
        self.queue.push_back((request.id, request.deadline));
        self.dispatch(now, decisions);
    }

    fn finish(&mut self, now: u64, end: &Ended<'_>, decisions: &mut Vec<Decision>) {
        if let Some(engine) = self.running_at.remove(&end.request.id) {
            self.inflight[engine] -= 1;
        }
        self.dispatch(now, decisions);
    }

    fn tick(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        self.dispatch(now, decisions);
    }
}
