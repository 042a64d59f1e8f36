//! The scheduler's state of one open job.

use std::collections::BTreeMap;

use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;

use crate::scheduler::event::KeptOutput;
use crate::scheduler::event::RunId;

/// Predicted output tokens of an item whose caller gives no expectation; also the predicted prompt
/// tokens of every item.
const PREDICTED_TOKENS: u64 = 1_000;

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// Waits for an engine, at least until the given time.
    Waiting(Millis),
    /// Runs on an engine.
    Running(RunId),
    /// Is finished or given up; its result may not be listed yet.
    Done,
}

/// An item of an open job.
#[derive(Debug, Clone)]
pub struct Item {
    /// Whether it waits, runs or is done.
    pub state: ItemState,
    /// Index of its group in [`Job::groups`].
    pub group: usize,
    /// Model that must run it, or none if any engine of the service may.
    pub model: Option<String>,
    /// Predicted tokens of prompt and output, which occupy an engine's memory.
    pub tokens: u64,
    /// Predicted output tokens.
    pub output: u64,
    /// Runs that ended with an engine's failure answer.
    pub failures: u32,
    /// Engine of its latest run, which the next one should avoid.
    pub avoid: Option<UpstreamId>,
    /// Output of its interrupted runs, and since when it waits to be continued.
    pub kept: Option<(KeptOutput, Millis)>,
}

impl Item {
    /// Records the output of an interrupted run. A run that added nothing doesn't start the wait
    /// anew.
    pub fn keep(&mut self, now: Millis, output: KeptOutput) {
        let since = match &self.kept {
            Some((known, since)) if *known == output => *since,
            _ => now,
        };
        self.kept = Some((output, since));
    }

    /// Returns whether an engine can continue its output, if there is any.
    pub fn may_continue_at(&self, software: &SoftwareVersion) -> bool {
        let kept = self.kept.as_ref();
        kept.is_none_or(|(output, _)| output.software.may_continue_at(software))
    }

    fn is_ready(&self, now: Millis) -> bool {
        matches!(self.state, ItemState::Waiting(after) if now >= after)
    }
}

/// Items that share a prompt and count together.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Indexes of its items in [`Job::items`].
    pub items: Vec<usize>,
    /// Engine on which the latest run of one of its items was started.
    pub engine: Option<UpstreamId>,
    /// Whether it was in an earlier job. The trainer waits for such a group whatever other groups are
    /// complete.
    pub repeated: bool,
}

/// An open job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Oldest version of the weights that may generate a result.
    pub min_version: u64,
    /// Whether a single version must generate a complete result.
    pub pure: bool,
    /// Whether another engine may resume an interrupted stream.
    pub resumable: bool,
    /// Number of failures at which an item is given up.
    pub attempts: u32,
    /// Number of complete groups that the trainer waits for.
    pub needed: usize,
    /// Time at which results are due, on the scheduler's clock.
    pub due: Millis,
    /// Service that runs the items, or none while no route leads to one.
    pub service: Option<ServiceId>,
    /// Items in the order of the job.
    pub items: Vec<Item>,
    /// Groups in the order of their first items.
    pub groups: Vec<Group>,
}

impl Job {
    /// Opens a job; `open` says for each item whether it has no result.
    pub fn open(now: Millis, job: &BatchJob, open: &[bool], service: Option<ServiceId>) -> Self {
        let mut indexes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut items = Vec::with_capacity(job.items.len());
        for (index, item) in job.items.iter().enumerate() {
            let group = *indexes.entry(item.group.as_str()).or_insert_with(|| {
                groups.push(Group::default());
                groups.len() - 1
            });
            groups[group].items.push(index);
            let output = item.expected.unwrap_or(PREDICTED_TOKENS);
            let is_open = open.get(index).copied().unwrap_or(false);
            items.push(Item {
                state: if is_open {
                    ItemState::Waiting(Millis::ZERO)
                } else {
                    ItemState::Done
                },
                group,
                model: item.model.clone(),
                tokens: item.tokens.min(predicted_tokens(item.tokens, output)),
                output,
                failures: 0,
                avoid: None,
                kept: None,
            });
        }
        Self {
            min_version: job.min_version,
            pure: job.pure,
            resumable: job.resumable,
            attempts: job.attempts,
            needed: job.wanted as usize,
            due: now + job.due,
            service,
            items,
            groups,
        }
    }

    /// Returns the model of the first item, which stands for the job.
    pub fn model(&self) -> Option<&str> {
        self.items.first()?.model.as_deref()
    }

    /// Returns whether every item is done.
    pub fn is_done(&self) -> bool {
        self.items.iter().all(|i| i.state == ItemState::Done)
    }

    /// Returns whether an item waits for an engine.
    pub fn has_waiting(&self) -> bool {
        let waits = |i: &Item| matches!(i.state, ItemState::Waiting(_));
        self.items.iter().any(waits)
    }

    /// Returns the number of items that may be sent now.
    pub fn count_ready(&self, now: Millis) -> u32 {
        let ready = self.items.iter().filter(|item| item.is_ready(now));
        ready.count() as u32
    }

    /// Returns the items that may be sent now in the order of their priority: items of the groups
    /// that the trainer waits for before the others, and then the longest first, because the last
    /// item of a step decides when the step ends.
    pub fn ready_items(&self, now: Millis) -> Vec<usize> {
        let ranks = self.ranks();
        let mut ready: Vec<usize> = (0..self.items.len())
            .filter(|index| self.items[*index].is_ready(now))
            .collect();
        let needed = |index: usize| ranks[self.items[index].group] < self.needed;
        ready.sort_by_key(|index| {
            let output = self.items[*index].output;
            (!needed(*index), std::cmp::Reverse(output), *index)
        });
        ready
    }

    /// Marks the groups of these items as repeated from an earlier job.
    pub fn repeat_groups(&mut self, items: &[usize]) {
        for item in items {
            if let Some(item) = self.items.get(*item) {
                self.groups[item.group].repeated = true;
            }
        }
    }

    /// Ranks the groups: repeated ones first, because no other group can take their place, then complete
    /// ones, then by the longest predicted output of their open items, shortest first.
    fn ranks(&self) -> Vec<usize> {
        let remaining = |group: &Group| {
            let open = group.items.iter().map(|i| &self.items[*i]);
            let open = open.filter(|i| i.state != ItemState::Done);
            open.map(|i| i.output).max().unwrap_or(0)
        };
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_by_key(|index| {
            let group = &self.groups[*index];
            (!group.repeated, remaining(group), *index)
        });
        let mut ranks = vec![0; self.groups.len()];
        for (rank, group) in order.into_iter().enumerate() {
            ranks[group] = rank;
        }
        ranks
    }
}

/// Returns the predicted tokens of prompt and output, at most `limit`: those of the prompt and the
/// longest output.
fn predicted_tokens(limit: u64, output: u64) -> u64 {
    limit.min(PREDICTED_TOKENS.saturating_add(output))
}
