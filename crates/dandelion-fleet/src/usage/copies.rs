//! Copies of other daemons' counters, so that the usage of a lost daemon is still billed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::WindowId;

use crate::usage::counters::RETAINED_WINDOWS;

type Source = (DaemonId, Incarnation, WindowId);

/// The newest report of each source that copies its counters to this daemon.
#[derive(Debug, Default)]
pub struct CopyStore {
    reports: BTreeMap<Source, CounterReport>,
}

impl CopyStore {
    /// Stores `report` unless one at least as new is stored for the same source.
    pub fn keep(&mut self, report: CounterReport) {
        let source = (report.daemon.clone(), report.incarnation, report.window);
        let stored = self.reports.get(&source).map(|r| r.sequence);
        if stored.is_none_or(|sequence| sequence < report.sequence) {
            self.reports.insert(source, report);
        }
    }

    /// Removes and returns the reports of all incarnations of a daemon before `live`, to be
    /// submitted on its behalf.
    ///
    /// `live` is none if the daemon is no longer a member.
    pub fn take_ended(
        &mut self,
        daemon: &DaemonId,
        live: Option<Incarnation>,
    ) -> Vec<CounterReport> {
        let ended = |source: &Source| &source.0 == daemon && live.is_none_or(|l| source.1 < l);
        let sources: Vec<Source> = self.reports.keys().filter(|s| ended(s)).cloned().collect();
        sources
            .iter()
            .filter_map(|source| self.reports.remove(source))
            .collect()
    }

    /// Returns the daemons whose reports are stored.
    pub fn daemons(&self) -> BTreeSet<DaemonId> {
        self.reports.keys().map(|source| source.0.clone()).collect()
    }

    /// Removes reports of windows that are too old to be submitted.
    pub fn trim(&mut self, current: WindowId) {
        let oldest = WindowId(current.0.saturating_sub(RETAINED_WINDOWS));
        self.reports.retain(|source, _| source.2 >= oldest);
    }

    /// Returns the number of stored reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no report is stored.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
