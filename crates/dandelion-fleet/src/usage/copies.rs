//! Copies of other daemons' counters, kept so that a lost daemon's usage is still billed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::WindowId;

use crate::usage::counters::KEPT_WINDOWS;

type Source = (DaemonId, Incarnation, WindowId);

/// The newest report of each source that named this daemon as its copy holder.
#[derive(Debug, Default)]
pub struct CopyStore {
    reports: BTreeMap<Source, CounterReport>,
}

impl CopyStore {
    /// Keeps `report` unless a newer one of the same source is held.
    pub fn keep(&mut self, report: CounterReport) {
        let source = (report.daemon.clone(), report.incarnation, report.window);
        let held = self.reports.get(&source).map(|r| r.sequence);
        if held.is_none_or(|sequence| sequence < report.sequence) {
            self.reports.insert(source, report);
        }
    }

    /// Takes all reports of a daemon's lives before `live`; they are submitted on its behalf.
    ///
    /// `live` is none once the daemon has left for good.
    pub fn take_gone(
        &mut self,
        daemon: &DaemonId,
        live: Option<Incarnation>,
    ) -> Vec<CounterReport> {
        let gone = |source: &Source| &source.0 == daemon && live.is_none_or(|l| source.1 < l);
        let sources: Vec<Source> = self.reports.keys().filter(|s| gone(s)).cloned().collect();
        sources
            .iter()
            .filter_map(|source| self.reports.remove(source))
            .collect()
    }

    /// Returns the daemons whose reports are held.
    pub fn daemons(&self) -> BTreeSet<DaemonId> {
        self.reports.keys().map(|source| source.0.clone()).collect()
    }

    /// Forgets windows that are past being submitted.
    pub fn trim(&mut self, current: WindowId) {
        let oldest = WindowId(current.0.saturating_sub(KEPT_WINDOWS));
        self.reports.retain(|source, _| source.2 >= oldest);
    }

    /// Returns the number of reports held.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no report is held.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
