//! Decides, on the control leader, when to freeze a usage window and when to report it.

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::usage::WindowId;

use crate::usage::figures::WindowFigures;
use crate::usage::table::UsageCommand;

/// Base delay before a failed report is sent again; doubles with each failure up to
/// [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Millis = Millis(500);

/// Longest delay before a failed report is sent again.
pub const MAX_BACKOFF: Millis = Millis::from_secs(15);

/// Time after which a report without an answer is sent again.
pub const REPORT_TIMEOUT: Millis = Millis::from_secs(5);

/// Time after which a proposal that has not taken effect is made again.
pub const PROPOSAL_TIMEOUT: Millis = Millis::from_secs(3);

/// Settings of the reporter; they must be equal on every daemon of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReporterSettings {
    /// Length of a usage window.
    pub length: Millis,
    /// Longest wait after a window's end for daemons that have not closed it.
    pub grace: Millis,
}

/// The platform's answer to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The platform has accepted the figures, now or in answer to an earlier report.
    Accepted,
    /// No answer or a transient failure; the same figures are sent again.
    Failed,
    /// The platform has other figures for this window, which is not reported again.
    Differs,
}

/// Replicated state on which the reporter bases its decisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageView {
    /// Window to freeze next, or none before any usage was submitted.
    pub next: Option<WindowId>,
    /// Whether every member daemon has closed that window.
    pub all_closed: bool,
    /// Figures of the oldest frozen window that the platform has not accepted.
    pub due: Option<WindowFigures>,
}

/// Input of the reporter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterEvent {
    /// Time passed; carries the wall clock and the replicated state.
    Tick {
        /// Wall-clock time.
        wall: WallMillis,
        /// Leadership term while this daemon holds the leader's lease, or none.
        term: Option<Term>,
        /// Replicated state at that time.
        view: UsageView,
    },
    /// A report ended, with or without an answer.
    Reported {
        /// Reported window.
        window: WindowId,
        /// Term under which it was sent.
        term: Term,
        /// The platform's answer.
        outcome: ReportOutcome,
    },
}

/// Output of the reporter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterAction {
    /// Propose a change of the usage table.
    Propose(UsageCommand),
    /// Send the figures; the lease must be checked directly before the write.
    Report {
        /// Leadership term, sent as the fencing number.
        term: Term,
        /// Frozen figures.
        figures: WindowFigures,
    },
    /// Alert the operators that the platform has other figures.
    Alarm {
        /// Window whose figures differ.
        window: WindowId,
    },
}

/// Freezes and reports usage windows in order, one at a time.
#[derive(Debug)]
pub struct UsageReporter {
    settings: ReporterSettings,
    term: Option<Term>,
    /// Last proposal and when it was made.
    proposed: Option<(UsageCommand, Millis)>,
    /// Last reported window and when it may be reported again.
    reported: Option<(WindowId, Millis)>,
    failures: u32,
    disputed: Option<WindowId>,
}

impl UsageReporter {
    /// Creates a reporter that does nothing until a tick brings a term.
    pub fn open(settings: ReporterSettings) -> Self {
        Self {
            settings,
            term: None,
            proposed: None,
            reported: None,
            failures: 0,
            disputed: None,
        }
    }

    fn set_term(&mut self, term: Option<Term>) {
        if self.term != term {
            self.term = term;
            self.proposed = None;
            self.reported = None;
            self.failures = 0;
        }
    }

    fn tick(
        &mut self,
        now: Millis,
        wall: WallMillis,
        view: &UsageView,
        actions: &mut Vec<ReporterAction>,
    ) {
        let Some(term) = self.term else { return };
        if let Some(window) = view.next.filter(|w| self.can_freeze(*w, wall, view)) {
            let length = self.settings.length;
            self.propose(now, UsageCommand::Freeze { window, length }, actions);
        }
        if let Some(figures) = &view.due {
            self.report(now, term, figures, actions);
        }
    }

    fn can_freeze(&self, window: WindowId, wall: WallMillis, view: &UsageView) -> bool {
        let end = (window.0 + 1).saturating_mul(self.settings.length.0);
        let deadline = end.saturating_add(self.settings.grace.0);
        wall.0 >= deadline || (view.all_closed && wall.0 >= end)
    }

    fn propose(&mut self, now: Millis, command: UsageCommand, actions: &mut Vec<ReporterAction>) {
        let pending = self
            .proposed
            .as_ref()
            .is_some_and(|(c, at)| *c == command && now.since(*at) < PROPOSAL_TIMEOUT);
        if !pending {
            self.proposed = Some((command.clone(), now));
            actions.push(ReporterAction::Propose(command));
        }
    }

    fn report(
        &mut self,
        now: Millis,
        term: Term,
        figures: &WindowFigures,
        actions: &mut Vec<ReporterAction>,
    ) {
        let window = figures.window;
        if self.disputed == Some(window) {
            return;
        }
        if self
            .reported
            .is_some_and(|(w, until)| w == window && now < until)
        {
            return;
        }
        self.reported = Some((window, now + REPORT_TIMEOUT));
        actions.push(ReporterAction::Report {
            term,
            figures: figures.clone(),
        });
    }

    fn backoff(&self) -> Millis {
        let factor = 1_u64 << self.failures.min(6);
        Millis(MIN_BACKOFF.0.saturating_mul(factor)).min(MAX_BACKOFF)
    }

    fn handle_outcome(
        &mut self,
        now: Millis,
        window: WindowId,
        outcome: ReportOutcome,
        actions: &mut Vec<ReporterAction>,
    ) {
        match outcome {
            ReportOutcome::Accepted => {
                self.failures = 0;
                self.reported = Some((window, now + PROPOSAL_TIMEOUT));
                self.propose(now, UsageCommand::Accept { window }, actions);
            }
            ReportOutcome::Failed => {
                self.failures += 1;
                self.reported = Some((window, now + self.backoff()));
            }
            ReportOutcome::Differs => {
                self.disputed = Some(window);
                actions.push(ReporterAction::Alarm { window });
            }
        }
    }
}

impl Machine for UsageReporter {
    type Event = ReporterEvent;
    type Action = ReporterAction;

    fn handle(&mut self, now: Millis, event: ReporterEvent, actions: &mut Vec<ReporterAction>) {
        match event {
            ReporterEvent::Tick { wall, term, view } => {
                self.set_term(term);
                self.tick(now, wall, &view, actions);
            }
            ReporterEvent::Reported {
                window,
                term,
                outcome,
            } => {
                if self.term == Some(term) {
                    self.handle_outcome(now, window, outcome, actions);
                }
            }
        }
    }
}
