//! What the scheduler knows of one open job.

use std::collections::BTreeMap;

use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::scheduler::event::RunId;

/// Output tokens predicted where the caller says nothing.
const PREDICTED_TOKENS: u64 = 1_000;

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// It waits for an engine, not before the given time.
    Waiting(Millis),
    /// It runs.
    Running(RunId),
    /// Its result is, or is about to be, listed.
    Done,
}

/// One item.
#[derive(Debug, Clone)]
pub struct Item {
    /// State.
    pub state: ItemState,
    /// Group by its place in the job.
    pub group: usize,
    /// Model.
    pub model: Option<String>,
    /// Tokens that it is predicted to hold in an engine's memory.
    pub tokens: u64,
    /// Output tokens that are predicted.
    pub output: u64,
    /// Failures that engines answered.
    pub failures: u32,
    /// Engine on which its latest run failed or was refused.
    pub avoid: Option<UpstreamId>,
}

/// Items that count together.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Items by their place in the job.
    pub items: Vec<usize>,
    /// Engine that ran the latest of them.
    pub engine: Option<UpstreamId>,
}

/// An open job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Oldest version of the weights that may be used.
    pub min_version: u64,
    /// Whether one version must make a whole result.
    pub pure: bool,
    /// Whether a broken stream may go on at another engine.
    pub resumable: bool,
    /// Failures after which an item is given up.
    pub attempts: u32,
    /// Groups that the trainer waits for.
    pub wanted: usize,
    /// Time at which results are due.
    pub due: Millis,
    /// Service that takes the items, or none while no route leads to one.
    pub service: Option<ServiceId>,
    /// Items.
    pub items: Vec<Item>,
    /// Groups, in the order of the job.
    pub groups: Vec<Group>,
}

impl Job {
    /// Opens a job; `open` tells which items have no result.
    pub fn open(now: Millis, job: &BatchJob, open: &[bool], service: Option<ServiceId>) -> Self {
        let mut places: BTreeMap<&str, usize> = BTreeMap::new();
        let mut groups: Vec<Group> = Vec::new();
        let mut items = Vec::with_capacity(job.items.len());
        for (index, item) in job.items.iter().enumerate() {
            let group = *places.entry(item.group.as_str()).or_insert_with(|| {
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
                tokens: item.tokens.min(prompt_tokens(item.tokens, output)),
                output,
                failures: 0,
                avoid: None,
            });
        }
        Self {
            min_version: job.min_version,
            pure: job.pure,
            resumable: job.resumable,
            attempts: job.attempts,
            wanted: job.wanted as usize,
            due: now + job.due,
            service,
            items,
            groups,
        }
    }

    /// Returns the model whose weights the job is about.
    pub fn model(&self) -> Option<&str> {
        self.items.first()?.model.as_deref()
    }

    /// Returns whether every item is done.
    pub fn is_done(&self) -> bool {
        self.items.iter().all(|i| i.state == ItemState::Done)
    }

    /// Returns whether an item waits for an engine.
    pub fn is_waiting(&self) -> bool {
        let waits = |i: &Item| matches!(i.state, ItemState::Waiting(_));
        self.items.iter().any(waits)
    }

    /// Returns the items that may be sent now, the most useful first: the groups that the trainer
    /// waits for before the others, and among them the longest first, because the last item of
    /// a step decides when the step ends.
    pub fn waiting(&self, now: Millis) -> Vec<usize> {
        let ranks = self.ranks();
        let may_go = |i: &Item| matches!(i.state, ItemState::Waiting(after) if now >= after);
        let mut waiting: Vec<usize> = (0..self.items.len())
            .filter(|index| may_go(&self.items[*index]))
            .collect();
        let needed = |index: usize| ranks[self.items[index].group] < self.wanted;
        waiting.sort_by_key(|index| {
            let output = self.items[*index].output;
            (!needed(*index), std::cmp::Reverse(output), *index)
        });
        waiting
    }

    /// Ranks the groups: whole ones, then those with the shortest predicted rest.
    fn ranks(&self) -> Vec<usize> {
        let rest = |group: &Group| {
            let open = group.items.iter().map(|i| &self.items[*i]);
            let open = open.filter(|i| i.state != ItemState::Done);
            open.map(|i| i.output).max().unwrap_or(0)
        };
        let mut order: Vec<usize> = (0..self.groups.len()).collect();
        order.sort_by_key(|group| (rest(&self.groups[*group]), *group));
        let mut ranks = vec![0; self.groups.len()];
        for (rank, group) in order.into_iter().enumerate() {
            ranks[group] = rank;
        }
        ranks
    }
}

/// Returns the tokens of prompt and predicted output, given those of prompt and longest output.
fn prompt_tokens(most: u64, output: u64) -> u64 {
    most.min(PREDICTED_TOKENS + output)
}
