//! Sets of group numbers as sorted, disjoint ranges.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A set of numbers whose size grows with its gaps, not with its members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeSet {
    /// Maps the start of each range to one past its end.
    ranges: BTreeMap<u64, u64>,
}

impl RangeSet {
    /// Returns the set of `start..end`.
    pub fn of(start: u64, end: u64) -> Self {
        let mut set = Self::default();
        set.insert(start, end);
        set
    }

    /// Adds `start..end`.
    pub fn insert(&mut self, start: u64, end: u64) {
        if start >= end {
            return;
        }
        let mut start = start;
        let mut end = end;
        while let Some((from, to)) = self.last_up_to(end) {
            if to < start {
                break;
            }
            self.ranges.remove(&from);
            start = start.min(from);
            end = end.max(to);
        }
        self.ranges.insert(start, end);
    }

    /// Removes `start..end`.
    pub fn remove(&mut self, start: u64, end: u64) {
        if start >= end {
            return;
        }
        while let Some((from, to)) = self.last_below(end) {
            if to <= start {
                break;
            }
            self.ranges.remove(&from);
            self.insert_disjoint(end, to);
            if from < start {
                self.ranges.insert(from, start);
                break;
            }
        }
    }

    fn insert_disjoint(&mut self, start: u64, end: u64) {
        if start < end {
            self.ranges.insert(start, end);
        }
    }

    fn last_up_to(&self, number: u64) -> Option<(u64, u64)> {
        self.ranges.range(..=number).next_back().map(copied)
    }

    fn last_below(&self, number: u64) -> Option<(u64, u64)> {
        self.ranges.range(..number).next_back().map(copied)
    }

    /// Adds every member of `other`.
    pub fn extend(&mut self, other: &Self) {
        for (start, end) in other.iter() {
            self.insert(start, end);
        }
    }

    /// Returns whether `number` is a member.
    pub fn contains(&self, number: u64) -> bool {
        self.last_up_to(number).is_some_and(|(_, end)| number < end)
    }

    /// Returns whether a number is a member of both sets.
    pub fn intersects(&self, other: &Self) -> bool {
        other
            .iter()
            .any(|(start, end)| self.last_below(end).is_some_and(|(_, to)| start < to))
    }

    /// Returns whether all of `start..end` are members.
    pub fn covers(&self, start: u64, end: u64) -> bool {
        start >= end || self.last_up_to(start).is_some_and(|(_, to)| end <= to)
    }

    /// Iterates over the ranges as (start, one past the end).
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.ranges.iter().map(copied)
    }

    /// Iterates over the members.
    pub fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.iter().flat_map(|(start, end)| start..end)
    }

    /// Returns the smallest member.
    pub fn first(&self) -> Option<u64> {
        self.ranges.keys().next().copied()
    }

    /// Returns one past the greatest member, or zero.
    pub fn end(&self) -> u64 {
        self.ranges.values().next_back().copied().unwrap_or(0)
    }

    /// Returns the number of members.
    pub fn len(&self) -> u64 {
        self.iter().map(|(start, end)| end - start).sum()
    }

    /// Returns the number of ranges.
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}

fn copied(range: (&u64, &u64)) -> (u64, u64) {
    (*range.0, *range.1)
}

impl FromIterator<u64> for RangeSet {
    fn from_iter<I>(numbers: I) -> Self
    where
        I: IntoIterator<Item = u64>,
    {
        let mut set = Self::default();
        for number in numbers {
            set.insert(number, number + 1);
        }
        set
    }
}

/// Encoded as alternating gaps and lengths, so that a range usually takes two to four bytes.
impl Serialize for RangeSet {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let mut at = 0;
        let mut deltas = Vec::with_capacity(self.ranges.len() * 2);
        for (start, end) in self.iter() {
            deltas.push(start - at);
            deltas.push(end - start);
            at = end;
        }
        deltas.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for RangeSet {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let deltas = Vec::<u64>::deserialize(deserializer)?;
        let mut set = Self::default();
        let mut at: u64 = 0;
        for pair in deltas.chunks(2) {
            let start = at.saturating_add(pair[0]);
            at = start.saturating_add(pair.get(1).copied().unwrap_or(0));
            set.insert(start, at);
        }
        Ok(set)
    }
}
