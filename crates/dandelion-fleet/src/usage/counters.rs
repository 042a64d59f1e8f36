//! Cumulative usage of one daemon incarnation, by window.

use std::collections::BTreeMap;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::usage::Class;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::Counts;
use dandelion_protocol::usage::TeamCounts;
use dandelion_protocol::usage::WindowId;

/// Number of windows before the current one that a daemon retains, so that it can submit them
/// again.
pub const RETAINED_WINDOWS: u64 = 16;

#[derive(Debug, Default)]
struct WindowCounters {
    sequence: u64,
    closed: bool,
    totals: BTreeMap<(TeamId, Class), Counts>,
}

/// Usage counters of one daemon process.
#[derive(Debug)]
pub struct UsageCounters {
    daemon: DaemonId,
    incarnation: Incarnation,
    windows: BTreeMap<WindowId, WindowCounters>,
    current: WindowId,
}

impl UsageCounters {
    /// Creates empty counters for one daemon incarnation, starting in window `current`.
    pub fn open(daemon: DaemonId, incarnation: Incarnation, current: WindowId) -> Self {
        let windows = BTreeMap::from([(current, WindowCounters::default())]);
        Self {
            daemon,
            incarnation,
            windows,
            current,
        }
    }

    /// Adds finished work to the current window.
    pub fn record(&mut self, team: &TeamId, class: Class, counts: &Counts) {
        let window = self.windows.entry(self.current).or_default();
        window.sequence += 1;
        let total = window.totals.entry((team.clone(), class)).or_default();
        total.add(counts);
    }

    /// Advances to window `current`, closes all earlier ones and drops those past retention.
    ///
    /// Does nothing if the clock has stepped back: a closed window is never reopened.
    pub fn advance(&mut self, current: WindowId) {
        if current <= self.current {
            return;
        }
        for (_, window) in self.windows.range_mut(..current) {
            if !window.closed {
                window.closed = true;
                window.sequence += 1;
            }
        }
        self.current = current;
        self.windows.entry(current).or_default();
        let oldest = WindowId(current.0.saturating_sub(RETAINED_WINDOWS));
        self.windows = self.windows.split_off(&oldest);
    }

    /// Closes all windows including the current one, before the process stops.
    pub fn close_all(&mut self) {
        for window in self.windows.values_mut().filter(|w| !w.closed) {
            window.closed = true;
            window.sequence += 1;
        }
    }

    /// Returns the window to which finished work is added.
    pub fn current(&self) -> WindowId {
        self.current
    }

    /// Returns one report for each retained window, oldest first.
    pub fn reports(&self) -> Vec<CounterReport> {
        self.windows
            .iter()
            .map(|(id, window)| self.report(*id, window))
            .collect()
    }

    fn report(&self, id: WindowId, window: &WindowCounters) -> CounterReport {
        let totals = window
            .totals
            .iter()
            .map(|((team, class), counts)| TeamCounts {
                team: team.clone(),
                class: *class,
                counts: *counts,
            })
            .collect();
        CounterReport {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            window: id,
            sequence: window.sequence,
            closed: window.closed,
            totals,
        }
    }
}
