//! Permits to send to engines that name a limit or are cold.
//!
//! Designed for the load of batch jobs: many items wait at once, and most engines take them without a
//! permit.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::RatePermit;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::job::Job;

/// Time after which an ask without a reply counts as lost.
const ASK_TIMEOUT: Millis = Millis(1_000);

/// Shortest time between a reply without permits and the next ask.
const MIN_WAIT: Millis = Millis(20);

/// Permits of one engine, which expire if they are not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permits {
    /// Number of the first one; the others follow it.
    pub first: PermitNumber,
    /// Number of permits.
    pub count: u32,
    /// When they expire.
    pub until: Millis,
}

/// The permits of an engine that names a limit, and the ask for further ones.
#[derive(Debug, Clone, Default)]
pub struct Allowance {
    permits: Option<Permits>,
    /// When permits were asked for, and how many, while there is no reply.
    asked: Option<(Millis, u32)>,
    ask_after: Millis,
}

impl Allowance {
    /// Returns whether a run may be sent.
    pub fn has_permit(&self, now: Millis) -> bool {
        self.count(now) > 0
    }

    /// Returns the number of permits left.
    pub fn count(&self, now: Millis) -> u32 {
        let valid = self.permits.as_ref().filter(|p| now <= p.until);
        valid.map_or(0, |p| p.count)
    }

    /// Takes a permit for a run.
    pub fn take(&mut self, now: Millis) -> Option<RatePermit> {
        let permits = self.permits.as_mut();
        let permits = permits.filter(|p| now <= p.until && p.count > 0)?;
        let permit = RatePermit {
            number: permits.first,
            until: permits.until,
        };
        permits.first.number += 1;
        permits.count -= 1;
        Some(permit)
    }

    /// Returns the number of permits that are asked for.
    pub fn asked(&self, now: Millis) -> u32 {
        let pending = self.asked.filter(|(at, _)| now < *at + ASK_TIMEOUT);
        pending.map_or(0, |(_, count)| count)
    }

    /// Returns whether permits may be asked for: none is left, no reply is due, and there may be one
    /// again.
    pub fn may_ask(&self, now: Millis) -> bool {
        !self.has_permit(now) && self.asked(now) == 0 && now >= self.ask_after
    }

    /// Records that permits are asked for.
    pub fn ask(&mut self, now: Millis, count: u32) {
        self.asked = Some((now, count));
    }

    /// Records the reply: the permits, if any, and the time until there may be further ones.
    pub fn receive(&mut self, now: Millis, permits: Option<Permits>, wait: Millis) {
        self.asked = None;
        self.ask_after = match permits {
            Some(_) => now + wait,
            None => now + wait.max(MIN_WAIT),
        };
        self.permits = permits;
    }
}

/// Permits to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Engine that is to run items.
    pub engine: UpstreamIncarnation,
    /// Most permits that can be used.
    pub count: u32,
}

/// Chooses the permits to ask for: for the items that wait because no engine takes them, of the
/// engine with the largest share of free slots first. No more are asked for than items wait, since a
/// permit that isn't used is lost.
pub fn choose_asks(
    now: Millis,
    jobs: &BTreeMap<String, Job>,
    engines: &mut BTreeMap<UpstreamId, Engine>,
) -> Vec<Ask> {
    let mut engines: Vec<&mut Engine> = engines.values_mut().collect();
    if engines.iter().all(|e| e.missing_permits(now) == 0) {
        return Vec::new();
    }
    engines.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let jobs = jobs.values().map(|job| (job, job.count_ready(now)));
    let jobs: Vec<(&Job, u32)> = jobs.filter(|(_, ready)| *ready > 0).collect();
    let mut permitted: u32 = engines.iter().map(|e| e.permitted_runs(now)).sum();
    let mut asks = Vec::new();
    for engine in engines {
        let fits = |job: &Job| {
            job.service.as_ref() == Some(&engine.life.service)
                && engine.may_serve(now, job.model(), job.min_version)
        };
        let fitting = jobs.iter().filter(|(job, _)| fits(job));
        let waiting: u32 = fitting.map(|(_, ready)| ready).sum();
        let count = waiting.saturating_sub(permitted);
        let count = engine.missing_permits(now).min(count);
        if count == 0 {
            continue;
        }
        permitted += count;
        if let Some(allowance) = engine.allowance_mut() {
            allowance.ask(now, count);
        }
        asks.push(Ask {
            engine: engine.life.clone(),
            count,
        });
    }
    asks
}
