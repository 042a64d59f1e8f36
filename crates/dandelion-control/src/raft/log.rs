//! The log in memory. Entries before the latest snapshot are retained for replicas that lag.

use std::collections::VecDeque;

use dandelion_protocol::ids::Term;

use crate::raft::types::Entry;
use crate::raft::types::Position;

/// Consecutive entries that follow a base position.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    bytes: u64,
}

impl Log {
    /// Opens a log whose first entry follows `base`.
    pub fn open(base: Position, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(|e| e.payload.size()).sum();
        Self {
            base,
            entries: entries.into(),
            bytes,
        }
    }

    /// Returns the position before the first entry in memory.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the approximate size of the entries in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the position of the last entry, or the base.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.at)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term of the entry at `index`; the index of the base is valid as well.
    pub fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// Returns the position of the entry at `index` or of the base, if `index` is in range.
    pub fn position(&self, index: u64) -> Option<Position> {
        let term = self.term_at(index)?;
        Some(Position { term, index })
    }

    /// Clones entries from `index` on, up to about `limit` bytes; at least one if there is any.
    pub fn slice(&self, index: u64, limit: u64) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut next = index;
        while let Some(entry) = self.get(next) {
            size += entry.payload.size();
            if size > limit && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            next += 1;
        }
        taken
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.at.index, self.last().index + 1, "entries have no gap");
        self.bytes += entry.payload.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        while self.entries.back().is_some_and(|e| e.at.index >= index) {
            if let Some(entry) = self.entries.pop_back() {
                self.bytes -= entry.payload.size();
            }
        }
    }

    /// Removes the entries up to `index`; the last one removed becomes the base.
    pub fn compact(&mut self, index: u64) {
        while self.entries.front().is_some_and(|e| e.at.index <= index) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.payload.size();
                self.base = entry.at;
            }
        }
    }

    /// Iterates over the entries in memory, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> + '_ {
        self.entries.iter()
    }
}
