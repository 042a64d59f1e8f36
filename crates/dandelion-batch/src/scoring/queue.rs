//! The queue of scoring requests: what is sent when, and what follows from each answer.

use std::collections::BTreeMap;

use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::scoring::priority::GroupProgress;
use crate::scoring::priority::Priority;
use crate::scoring::share::CallShare;

/// Delay before a request that did not run is sent again; up to twice as long at random.
const REFUSED_DELAY: Millis = Millis(30);

/// The same for a request that failed; doubles with each further failure.
const FAILED_DELAY: Millis = Millis(60);

/// Longest delay, to which as much is added at random.
const MAX_DELAY: Millis = Millis(1_000);

/// Most upstreams that the next try of a request avoids.
const MAX_AVOIDED: usize = 2;

/// Identifies one try of a scoring request; unique within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// How a try ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered with a score after this time.
    Scored {
        /// Digest of its answer.
        score: String,
        /// Time from the choice of the upstream to the answer.
        took: Millis,
    },
    /// The service answered that it failed.
    Failed(UpstreamId),
    /// The service answered that it does not accept the request.
    Rejected(UpstreamId),
    /// There is no answer that can be trusted.
    Broken(UpstreamId),
    /// An upstream did not run the request because it is full.
    Full(UpstreamId),
    /// The request was not sent; it may be after this time at the earliest.
    Withheld(Millis),
}

/// Output of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScoringAction {
    /// Send the request of an item.
    Send {
        /// Identity of the try.
        call: CallId,
        /// Id of the job.
        job: String,
        /// Index of the item in the job.
        item: usize,
        /// Time after which the try counts as failed.
        timeout: Millis,
        /// Upstreams at which the latest tries failed.
        avoid: Vec<UpstreamId>,
    },
    /// Abort a try; its end is not expected.
    Cancel(CallId),
    /// List an item with its score.
    List {
        /// Id of the job.
        job: String,
        /// Index of the item in the job.
        item: usize,
        /// Digest of the service's answer.
        score: String,
        /// Time since the output was complete.
        waited: Millis,
        /// Tries that it took.
        tries: u32,
    },
    /// List an item as given up.
    GiveUp {
        /// Id of the job.
        job: String,
        /// Index of the item in the job.
        item: usize,
        /// Reason, as the log shows it.
        reason: &'static str,
    },
}

/// An output that is not scored yet.
#[derive(Debug, Clone)]
struct Unscored {
    /// When the output was complete.
    since: Millis,
    /// Time before which it isn't sent.
    after: Millis,
    /// The try in progress, and its service.
    running: Option<(CallId, ServiceId)>,
    tries: u32,
    /// Answers that the service failed.
    failures: u32,
    /// Tries in a row without a score.
    unanswered: u32,
    avoid: Vec<UpstreamId>,
}

#[derive(Debug, Clone)]
struct ScoredJob {
    progress: GroupProgress,
    /// Answers that the service failed, at which an item is given up.
    attempts: u32,
    /// When unscored items are given up.
    keep_until: Millis,
    /// Service and attempts of each item's route, as the plan has them; none without a route.
    routes: BTreeMap<usize, (ServiceId, u32)>,
    items: BTreeMap<usize, Unscored>,
}

/// Queue of the scoring requests of all open jobs.
#[derive(Debug, Default)]
pub struct ScoringQueue {
    jobs: BTreeMap<String, ScoredJob>,
    shares: BTreeMap<ServiceId, CallShare>,
    calls: BTreeMap<CallId, (String, usize)>,
    last_call: u64,
}

impl ScoringQueue {
    /// Opens a job; `open` says for each item whether it has no complete output.
    pub fn open_job(&mut self, now: Millis, job: &BatchJob, open: &[bool]) {
        if job.items.iter().all(|item| item.scoring.is_none()) {
            return;
        }
        let progress = GroupProgress::open(job, open, now + job.due);
        self.jobs.entry(job.id.clone()).or_insert(ScoredJob {
            progress,
            attempts: job.attempts,
            keep_until: now + job.keep,
            routes: BTreeMap::new(),
            items: BTreeMap::new(),
        });
    }

    /// Adds an item whose output is complete; ignored if it is queued or its job is not open.
    pub fn push(&mut self, now: Millis, job: &str, item: usize) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        if job.items.contains_key(&item) {
            return;
        }
        job.progress.completed(item);
        job.items.insert(
            item,
            Unscored {
                since: now,
                after: now,
                running: None,
                tries: 0,
                failures: 0,
                unanswered: 0,
                avoid: Vec::new(),
            },
        );
    }

    /// Notes that an item was given up before its output was complete.
    pub fn skip(&mut self, job: &str, item: usize) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.progress.skipped(item);
        }
    }

    /// Sets the service and the attempts of the route of an item's request, or that it has no route.
    pub fn set_route(&mut self, job: &str, item: usize, route: Option<(ServiceId, u32)>) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        match route {
            Some(route) => job.routes.insert(item, route),
            None => job.routes.remove(&item),
        };
    }

    /// Sets the number of slots of a service's ready upstreams.
    pub fn set_slots(&mut self, service: &ServiceId, slots: u32) {
        let share = self.shares.entry(service.clone());
        share
            .or_insert_with(|| CallShare::open(slots))
            .set_slots(slots);
    }

    /// Ends a job: what is in flight is cancelled.
    pub fn end_job(&mut self, job: &str, actions: &mut Vec<ScoringAction>) {
        let Some(job) = self.jobs.remove(job) else {
            return;
        };
        for (call, service) in job.items.into_values().filter_map(|item| item.running) {
            self.calls.remove(&call);
            end_call(&mut self.shares, &service);
            actions.push(ScoringAction::Cancel(call));
        }
    }

    /// Returns the items whose requests are queued or in flight, with their jobs.
    pub fn unscored(&self) -> impl Iterator<Item = (&str, usize)> {
        let jobs = self.jobs.iter();
        jobs.flat_map(|(id, job)| job.items.keys().map(|item| (id.as_str(), *item)))
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.calls.len()
    }

    /// Handles the end of a try. `draw` is a random number from 0 up to but not including 1.
    pub fn finish(
        &mut self,
        now: Millis,
        call: CallId,
        outcome: Outcome,
        draw: f64,
        actions: &mut Vec<ScoringAction>,
    ) {
        let Some((id, index)) = self.calls.remove(&call) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(item) = job.items.get_mut(&index) else {
            return;
        };
        let running = item.running.take();
        if let Some(share) = running.and_then(|(_, service)| self.shares.get_mut(&service)) {
            match &outcome {
                Outcome::Scored { took, .. } => share.answered(*took),
                Outcome::Full(_) => share.refused(),
                _ => share.end(),
            }
        }
        let upstream = match outcome {
            Outcome::Scored { score, .. } => {
                actions.push(ScoringAction::List {
                    job: id.clone(),
                    item: index,
                    score,
                    waited: Millis(now.0.saturating_sub(item.since.0)),
                    tries: item.tries,
                });
                job.settle(index);
                return;
            }
            Outcome::Withheld(delay) => {
                item.after = now + delay.max(jittered(REFUSED_DELAY, draw)).min(MAX_DELAY);
                item.avoid.clear();
                return;
            }
            Outcome::Full(upstream) => {
                item.after = now + jittered(REFUSED_DELAY, draw);
                upstream
            }
            Outcome::Failed(upstream) => {
                item.failures += 1;
                // Which of the two routes' attempts count isn't said; the larger number satisfies both.
                let route = job.routes.get(&index).map_or(0, |(_, attempts)| *attempts);
                if item.failures >= job.attempts.max(route) {
                    actions.push(job.give_up(&id, index, "scoring_failed"));
                    return;
                }
                item.delay(now, draw);
                upstream
            }
            Outcome::Broken(upstream) | Outcome::Rejected(upstream) => {
                item.delay(now, draw);
                upstream
            }
        };
        item.avoid.retain(|known| *known != upstream);
        item.avoid.push(upstream);
        if item.avoid.len() > MAX_AVOIDED {
            item.avoid.remove(0);
        }
    }

    /// Sends what may be sent now, and gives up what was kept for too long.
    pub fn advance(&mut self, now: Millis, actions: &mut Vec<ScoringAction>) {
        self.expire(now, actions);
        if !self.shares.values().any(CallShare::has_room) {
            return;
        }
        for (_, id, index) in self.ready(now) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some((service, _)) = job.routes.get(&index) else {
                continue;
            };
            let share = self.shares.get_mut(service);
            let Some(share) = share.filter(|share| share.has_room()) else {
                continue;
            };
            let Some(item) = job.items.get_mut(&index) else {
                continue;
            };
            share.begin();
            self.last_call += 1;
            let call = CallId(self.last_call);
            item.running = Some((call, service.clone()));
            item.tries += 1;
            actions.push(ScoringAction::Send {
                call,
                job: id.clone(),
                item: index,
                timeout: share.timeout(),
                avoid: item.avoid.clone(),
            });
            self.calls.insert(call, (id, index));
        }
    }

    /// Returns the items that may be sent now, the most urgent first.
    fn ready(&self, now: Millis) -> Vec<(Priority, String, usize)> {
        let mut ready = Vec::new();
        for (id, job) in &self.jobs {
            let items = job.items.iter();
            let due = items.filter(|(_, item)| item.running.is_none() && now >= item.after);
            ready.extend(due.map(|(index, _)| (job.progress.priority(*index), id.clone(), *index)));
        }
        ready.sort();
        ready
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<ScoringAction>) {
        for (id, job) in &mut self.jobs {
            if now < job.keep_until {
                continue;
            }
            let idle = job.items.iter().filter(|(_, item)| item.running.is_none());
            let idle: Vec<usize> = idle.map(|(index, _)| *index).collect();
            for index in idle {
                actions.push(job.give_up(id, index, "not_scored_in_time"));
            }
        }
    }
}

impl ScoredJob {
    fn settle(&mut self, item: usize) {
        self.items.remove(&item);
        self.progress.settled(item);
    }

    fn give_up(&mut self, id: &str, item: usize, reason: &'static str) -> ScoringAction {
        self.settle(item);
        ScoringAction::GiveUp {
            job: id.to_owned(),
            item,
            reason,
        }
    }
}

impl Unscored {
    /// Delays the next try after a failure.
    fn delay(&mut self, now: Millis, draw: f64) {
        let delay = Millis(FAILED_DELAY.0 << self.unanswered.min(8)).min(MAX_DELAY);
        self.unanswered += 1;
        self.after = now + jittered(delay, draw);
    }
}

fn end_call(shares: &mut BTreeMap<ServiceId, CallShare>, service: &ServiceId) {
    if let Some(share) = shares.get_mut(service) {
        share.end();
    }
}

/// Returns a delay that is up to twice as long as the given one.
fn jittered(delay: Millis, draw: f64) -> Millis {
    delay + Millis((delay.0 as f64 * draw) as u64)
}
