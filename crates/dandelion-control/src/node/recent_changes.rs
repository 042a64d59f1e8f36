//! Recent changes of distributed tables, from which feeders bring daemons up to date.

use std::collections::VecDeque;

use dandelion_protocol::ids::Revision;

use crate::feed::TableChange;

/// Most changes retained; a daemon further behind gets an image.
pub const MAX_RECENT_CHANGES: usize = 4096;

/// Changes that took effect on distributed tables, oldest first.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// Revision up to which changes are no longer retained.
    floor: Revision,
    changes: VecDeque<TableChange>,
}

impl RecentChanges {
    /// Removes all changes; those up to `revision` are then unavailable.
    pub fn reset(&mut self, revision: Revision) {
        self.floor = revision;
        self.changes.clear();
    }

    /// Adds a change and drops the oldest one if there are too many.
    pub fn push(&mut self, change: TableChange) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_RECENT_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.floor = oldest.revision;
        }
    }

    /// Returns the changes after `revision`, or `None` if some of them are no longer retained.
    pub fn since(&self, revision: Revision) -> Option<Vec<TableChange>> {
        if revision < self.floor {
            return None;
        }
        let first = self.changes.partition_point(|c| c.revision <= revision);
        Some(self.changes.range(first..).cloned().collect())
    }

    /// Returns whether any change follows `revision`.
    pub fn has_since(&self, revision: Revision) -> bool {
        self.changes.back().is_some_and(|c| c.revision > revision)
    }
}
