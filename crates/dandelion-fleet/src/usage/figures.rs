//! Usage figures of a window, as frozen in the replicated table and reported to the platform.

use std::collections::BTreeMap;

use dandelion_protocol::ids::TeamId;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::Counts;
use dandelion_protocol::usage::TeamCounts;
use dandelion_protocol::usage::WindowId;
use serde::Deserialize;
use serde::Serialize;

/// Usage totals by team and class.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals(BTreeMap<TeamId, BTreeMap<Class, Counts>>);

impl Totals {
    /// Adds counts of one team and class.
    pub fn add(&mut self, team: &TeamId, class: Class, counts: &Counts) {
        let classes = self.0.entry(team.clone()).or_default();
        classes.entry(class).or_default().add(counts);
    }

    /// Adds the counts of every entry of `list`.
    pub fn add_all(&mut self, list: &[TeamCounts]) {
        for entry in list {
            self.add(&entry.team, entry.class, &entry.counts);
        }
    }

    /// Returns the entries, ordered by team and class.
    pub fn to_list(&self) -> Vec<TeamCounts> {
        let entry = |team: &TeamId, (class, counts): (&Class, &Counts)| TeamCounts {
            team: team.clone(),
            class: *class,
            counts: *counts,
        };
        self.0
            .iter()
            .flat_map(|(team, classes)| classes.iter().map(move |c| entry(team, c)))
            .collect()
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Billed usage of one window; once frozen, it is reported unchanged until the platform accepts it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowFigures {
    /// Window that the figures are billed under.
    pub window: WindowId,
    /// Work that ended in this window.
    pub usage: Vec<TeamCounts>,
    /// Work that ended in an earlier window but was submitted after that window was frozen.
    pub late: Vec<TeamCounts>,
}
