//! Fetches and swaps that the engines of one zone need.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::UpstreamId;

/// The next order that an engine needs for one of its jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    Fetch,
    Swap,
}

type Queue = BTreeMap<JobId, BTreeSet<UpstreamId>>;

/// The engines of one zone: idle ones that need a fetch or swap, and counts of all.
#[derive(Debug, Default)]
pub(super) struct Zone {
    pub engine_count: usize,
    /// Engines that swap and have not answered yet.
    pub swapping: usize,
    fetches: Queue,
    swaps: Queue,
}

impl Zone {
    pub fn has_needs(&self) -> bool {
        !self.fetches.is_empty() || !self.swaps.is_empty()
    }

    pub fn add(&mut self, need: Need, upstream: &UpstreamId, job: &JobId) {
        let queue = match need {
            Need::Fetch => &mut self.fetches,
            Need::Swap => &mut self.swaps,
        };
        queue
            .entry(job.clone())
            .or_default()
            .insert(upstream.clone());
    }

    /// Returns the jobs for which an engine needs to fetch.
    pub fn fetch_jobs(&self) -> Vec<JobId> {
        self.fetches.keys().cloned().collect()
    }

    pub fn next_fetch(&self, job: &JobId) -> Option<UpstreamId> {
        self.fetches.get(job)?.first().cloned()
    }

    pub fn next_swap(&self) -> Option<(UpstreamId, JobId)> {
        let (job, names) = self.swaps.first_key_value()?;
        Some((names.first()?.clone(), job.clone()))
    }

    pub fn forget<'a, I>(&mut self, upstream: &UpstreamId, jobs: I)
    where
        I: Iterator<Item = &'a JobId>,
    {
        for job in jobs {
            remove(&mut self.fetches, job, upstream);
            remove(&mut self.swaps, job, upstream);
        }
    }
}

fn remove(queue: &mut Queue, job: &JobId, upstream: &UpstreamId) {
    if let Some(names) = queue.get_mut(job) {
        names.remove(upstream);
        if names.is_empty() {
            queue.remove(job);
        }
    }
}
