//! The order in which outputs are scored.

use std::collections::BTreeMap;

use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::time::Millis;

/// What is left to do for a group of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Rest {
    /// Items without a complete output.
    generating: u32,
    /// Items whose output is complete, but not scored.
    unscored: u32,
}

impl Rest {
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// How far the groups of a job are.
#[derive(Debug, Clone)]
pub struct GroupProgress {
    /// Index of the group of each item.
    groups: Vec<usize>,
    rest: Vec<Rest>,
    /// Number of groups without a rest.
    complete: usize,
    /// Number of complete groups that the trainer waits for.
    wanted: u32,
    /// When the results are due.
    due: Millis,
}

/// Sort key of a scoring request; the lowest goes first.
///
/// Groups that the trainer doesn't wait for any more come last. Before them, groups that only lack
/// scores come before those that still lack outputs, and of these the jobs that are due first and
/// the groups that lack least.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    is_surplus: bool,
    is_generating: bool,
    due: Millis,
    missing: u32,
}

impl GroupProgress {
    /// Opens a job whose results are due at `due`; `open` says for each item whether it has no
    /// complete output.
    pub fn open(job: &BatchJob, open: &[bool], due: Millis) -> Self {
        let mut indexes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut rest: Vec<Rest> = Vec::new();
        let mut groups = Vec::with_capacity(job.items.len());
        for (item, is_open) in job.items.iter().zip(open) {
            let group = *indexes.entry(item.group.as_str()).or_insert_with(|| {
                rest.push(Rest::default());
                rest.len() - 1
            });
            rest[group].generating += u32::from(*is_open);
            groups.push(group);
        }
        let complete = rest.iter().filter(|rest| rest.is_none()).count();
        Self {
            groups,
            rest,
            complete,
            wanted: job.wanted,
            due,
        }
    }

    /// Counts an item whose output is complete and is to be scored.
    pub fn completed(&mut self, item: usize) {
        self.change(item, |rest| {
            rest.generating = rest.generating.saturating_sub(1);
            rest.unscored += 1;
        });
    }

    /// Counts an item that was given up before its output was complete.
    pub fn skipped(&mut self, item: usize) {
        self.change(item, |rest| {
            rest.generating = rest.generating.saturating_sub(1);
        });
    }

    /// Counts an item that was scored, or given up after its output was complete.
    pub fn settled(&mut self, item: usize) {
        self.change(item, |rest| rest.unscored = rest.unscored.saturating_sub(1));
    }

    /// Returns the priority of the request that scores an item.
    pub fn priority(&self, item: usize) -> Priority {
        let rest = self.groups.get(item).map(|group| self.rest[*group]);
        let rest = rest.unwrap_or_default();
        Priority {
            is_surplus: self.complete >= self.wanted as usize,
            is_generating: rest.generating > 0,
            due: self.due,
            missing: rest.generating + rest.unscored,
        }
    }

    /// Changes what is left of an item's group.
    fn change<F>(&mut self, item: usize, change: F)
    where
        F: FnOnce(&mut Rest),
    {
        let group = self.groups.get(item);
        let Some(rest) = group.and_then(|group| self.rest.get_mut(*group)) else {
            return;
        };
        let was_complete = rest.is_none();
        change(rest);
        match (was_complete, rest.is_none()) {
            (false, true) => self.complete += 1,
            (true, false) => self.complete -= 1,
            (true, true) | (false, false) => (),
        }
    }
}
