//! The replicated table of usage windows: submitted counters, frozen figures, and which of them
//! the platform has accepted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::usage::CounterReport;
use dandelion_protocol::usage::Counts;
use dandelion_protocol::usage::TeamCounts;
use dandelion_protocol::usage::WindowId;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

use crate::usage::counters::RETAINED_WINDOWS;
use crate::usage::figures::Totals;
use crate::usage::figures::WindowFigures;

/// Name under which proposals address the usage table.
pub const USAGE_TABLE: &str = "usage";

/// Number of frozen windows above which the oldest accepted ones are dropped.
pub const MAX_FROZEN_WINDOWS: usize = 1000;

#[distributed_slice(TABLES)]
static USAGE: TableEntry = TableEntry::of::<UsageTable>();

/// A change of the usage table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCommand {
    /// Submits a daemon's cumulative counts for one window.
    Submit(CounterReport),
    /// Fixes the figures of a window that has ended.
    Freeze {
        /// Window to freeze: the one after the last frozen window.
        window: WindowId,
        /// Length of a window; the cell keeps the length of its first freeze permanently.
        length: Millis,
    },
    /// Records that the platform has accepted the frozen figures.
    Accept {
        /// Accepted window.
        window: WindowId,
    },
}

/// Result of a [`UsageCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReply {
    /// The counts are recorded.
    Submitted {
        /// Whether the window was frozen before, so that new counts are billed with a later one.
        late: bool,
    },
    /// The frozen figures.
    Frozen(WindowFigures),
    /// The acceptance is recorded.
    Accepted,
}

/// A frozen window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrozenWindow {
    /// Figures that are reported to the platform; they never change.
    pub figures: WindowFigures,
    /// When they were frozen, by the control leader's clock.
    pub frozen_at: WallMillis,
    /// Daemons that had closed the window by then.
    pub closed_by: Vec<DaemonId>,
    /// When the platform first accepted them, by the control leader's clock.
    pub accepted_at: Option<WallMillis>,
}

/// Newest counts that one daemon incarnation submitted for a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Source {
    daemon: DaemonId,
    incarnation: Incarnation,
    sequence: u64,
    closed: bool,
    totals: Vec<TeamCounts>,
}

/// Usage windows of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTable {
    length: Option<Millis>,
    sources: BTreeMap<WindowId, Vec<Source>>,
    late: Totals,
    frozen: BTreeMap<WindowId, FrozenWindow>,
    last_frozen: Option<WindowId>,
}

impl UsageTable {
    /// Returns the retained frozen windows, oldest first.
    pub fn frozen(&self) -> impl Iterator<Item = &FrozenWindow> {
        self.frozen.values()
    }

    /// Returns a retained frozen window.
    pub fn frozen_window(&self, window: WindowId) -> Option<&FrozenWindow> {
        self.frozen.get(&window)
    }

    /// Returns the newest frozen window.
    pub fn last_frozen(&self) -> Option<WindowId> {
        self.last_frozen
    }

    /// Returns the window to freeze next: the one after the last frozen window or, before the
    /// first freeze, the oldest one with counts.
    pub fn next_window(&self) -> Option<WindowId> {
        match self.last_frozen {
            Some(last) => Some(WindowId(last.0 + 1)),
            None => self.sources.keys().next().copied(),
        }
    }

    /// Returns the oldest frozen window that the platform has not accepted.
    pub fn next_report(&self) -> Option<&FrozenWindow> {
        self.frozen.values().find(|w| w.accepted_at.is_none())
    }

    /// Returns the daemons that have closed `window`.
    pub fn closed_daemons(&self, window: WindowId) -> BTreeSet<&DaemonId> {
        let sources = self.sources.get(&window).into_iter().flatten();
        sources.filter(|s| s.closed).map(|s| &s.daemon).collect()
    }

    /// Returns late counts, which are billed with the next window to be frozen.
    pub fn waiting_late(&self) -> Vec<TeamCounts> {
        self.late.to_list()
    }

    fn submit(&mut self, report: CounterReport) -> Result<UsageReply, Rejection> {
        self.check_retention(report.window)?;
        let late = self.last_frozen.is_some_and(|last| report.window <= last);
        let list = self.sources.entry(report.window).or_default();
        let recorded = list
            .iter_mut()
            .find(|s| s.daemon == report.daemon && s.incarnation == report.incarnation);
        let added = if let Some(source) = recorded {
            source.replace(report)?
        } else {
            let added = report.totals.clone();
            list.push(Source::new(report));
            added
        };
        if late {
            self.late.add_all(&added);
        }
        Ok(UsageReply::Submitted { late })
    }

    fn check_retention(&self, window: WindowId) -> Result<(), Rejection> {
        let oldest = self
            .last_frozen
            .map_or(0, |last| last.0.saturating_sub(RETAINED_WINDOWS));
        if window.0 >= oldest {
            return Ok(());
        }
        Err(Rejection::invalid(
            "window",
            "the window is past the retention of its sources",
            "correct the bill by hand; the daemon was cut off for too long",
        ))
    }

    fn freeze(
        &mut self,
        at: WallMillis,
        window: WindowId,
        length: Millis,
    ) -> Result<UsageReply, Rejection> {
        if let Some(frozen) = self.frozen.get(&window) {
            return Ok(UsageReply::Frozen(frozen.figures.clone()));
        }
        self.check_freeze(at, window, length)?;
        self.length = Some(length);
        let figures = self.sum(window);
        self.late = Totals::default();
        let frozen = FrozenWindow {
            figures: figures.clone(),
            frozen_at: at,
            closed_by: self.closing_daemons(window),
            accepted_at: None,
        };
        self.frozen.insert(window, frozen);
        self.last_frozen = Some(window);
        self.trim();
        Ok(UsageReply::Frozen(figures))
    }

    fn check_freeze(
        &self,
        at: WallMillis,
        window: WindowId,
        length: Millis,
    ) -> Result<(), Rejection> {
        if self.length.is_some_and(|fixed| fixed != length) || length == Millis::ZERO {
            return Err(Rejection::invalid(
                "window length",
                "it differs from the cell's",
                "set the same window length on every daemon",
            ));
        }
        if at.0 < (window.0 + 1).saturating_mul(length.0) {
            return Err(Rejection::invalid(
                "window",
                "it has not ended",
                "freeze it after its end",
            ));
        }
        if self.next_window().is_some_and(|next| next != window) {
            return Err(Rejection::invalid(
                "window",
                "it is not the one to freeze next",
                "freeze windows in order",
            ));
        }
        Ok(())
    }

    fn sum(&self, window: WindowId) -> WindowFigures {
        let mut usage = Totals::default();
        for source in self.sources.get(&window).into_iter().flatten() {
            usage.add_all(&source.totals);
        }
        WindowFigures {
            window,
            usage: usage.to_list(),
            late: self.late.to_list(),
        }
    }

    fn closing_daemons(&self, window: WindowId) -> Vec<DaemonId> {
        let sources = self.sources.get(&window).into_iter().flatten();
        sources
            .filter(|s| s.closed)
            .map(|s| s.daemon.clone())
            .collect()
    }

    fn accept(&mut self, at: WallMillis, window: WindowId) -> Result<UsageReply, Rejection> {
        let Some(frozen) = self.frozen.get_mut(&window) else {
            return Err(Rejection::NotFound {
                what: format!("frozen usage window {}", window.0),
            });
        };
        frozen.accepted_at.get_or_insert(at);
        Ok(UsageReply::Accepted)
    }

    fn trim(&mut self) {
        let last = self.last_frozen.map_or(0, |last| last.0);
        let oldest = WindowId(last.saturating_sub(RETAINED_WINDOWS));
        self.sources = self.sources.split_off(&oldest);
        while self.frozen.len() > MAX_FROZEN_WINDOWS {
            let first = self.frozen.first_key_value();
            let Some((id, _)) = first.filter(|(_, w)| w.accepted_at.is_some()) else {
                break;
            };
            let id = *id;
            self.frozen.remove(&id);
        }
    }
}

impl Table for UsageTable {
    const NAME: &'static str = USAGE_TABLE;
    const DISTRIBUTED: bool = false;
    const DEDUPLICATED: bool = false;
    type Command = UsageCommand;
    type Reply = UsageReply;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: UsageCommand,
    ) -> Result<UsageReply, Rejection> {
        match command {
            UsageCommand::Submit(report) => self.submit(report),
            UsageCommand::Freeze { window, length } => self.freeze(context.at, window, length),
            UsageCommand::Accept { window } => self.accept(context.at, window),
        }
    }
}

impl Source {
    fn new(report: CounterReport) -> Self {
        Self {
            daemon: report.daemon,
            incarnation: report.incarnation,
            sequence: report.sequence,
            closed: report.closed,
            totals: report.totals,
        }
    }

    /// Replaces the totals by newer ones and returns the difference, which is empty for an older
    /// report.
    fn replace(&mut self, report: CounterReport) -> Result<Vec<TeamCounts>, Rejection> {
        if report.sequence <= self.sequence {
            return Ok(Vec::new());
        }
        let added = difference(&self.totals, &report.totals)?;
        self.sequence = report.sequence;
        self.closed |= report.closed;
        self.totals = report.totals;
        Ok(added)
    }
}

/// Returns the counts that `new` adds to `old`, or a rejection if a count has decreased.
fn difference(old: &[TeamCounts], new: &[TeamCounts]) -> Result<Vec<TeamCounts>, Rejection> {
    let find = |list: &[TeamCounts], entry: &TeamCounts| {
        list.iter()
            .find(|c| c.team == entry.team && c.class == entry.class)
            .map(|c| c.counts)
    };
    for entry in old {
        let current = find(new, entry).unwrap_or_default();
        if !covers(&current, &entry.counts) {
            return Err(Rejection::invalid(
                "totals",
                "cumulative counts went down within one incarnation",
                "restart the daemon so that it counts under a new incarnation",
            ));
        }
    }
    let added = |entry: &TeamCounts| TeamCounts {
        team: entry.team.clone(),
        class: entry.class,
        counts: entry.counts.minus(&find(old, entry).unwrap_or_default()),
    };
    Ok(new.iter().map(added).collect())
}

/// Returns whether no count of `current` is below that of `earlier`.
fn covers(current: &Counts, earlier: &Counts) -> bool {
    current.requests >= earlier.requests
        && current.prompt_tokens >= earlier.prompt_tokens
        && current.output_tokens >= earlier.output_tokens
        && current.busy_ms >= earlier.busy_ms
}
