//! Decides on the control leader when to freeze a window and when to report it.

use dandelion_kernel::Machine;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::usage::WindowId;

use crate::usage::figures::WindowFigures;
use crate::usage::table::UsageCommand;

/// First delay before a failed report is sent again; doubles up to [`MAX_BACKOFF`].
pub const MIN_BACKOFF: Millis = Millis(500);

/// Longest delay between two sendings of a report.
pub const MAX_BACKOFF: Millis = Millis::from_secs(15);

/// How long a report may stay unanswered before it is sent again.
pub const REPORT_TIMEOUT: Millis = Millis::from_secs(5);

/// How long a proposal may stay unanswered before it is made again.
pub const PROPOSAL_TIMEOUT: Millis = Millis::from_secs(3);

/// Settings of the reporter, equal on every daemon of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReporterSettings {
    /// Length of a usage window.
    pub length: Millis,
    /// How long after a window's end the reporter waits for daemons that have not closed it.
    pub grace: Millis,
}

/// What the platform said to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It took the figures, now or before.
    Accepted,
    /// No answer or a transient failure; the same bytes are sent again.
    Failed,
    /// It holds other figures for this window; the reporter stops for this window.
    Differs,
}

/// The replicated facts that the reporter decides on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageView {
    /// Window to freeze next, if any.
    pub next: Option<WindowId>,
    /// Whether every live daemon has closed that window.
    pub all_closed: bool,
    /// Oldest frozen window that is not accepted.
    pub due: Option<WindowFigures>,
}

/// Input of the reporter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReporterEvent {
    /// Time passed; carries the wall clock and the replicated facts.
    Tick {
        /// Wall-clock time.
        wall: WallMillis,
        /// Term under which this daemon is in charge, if it is.
        charge: Option<Term>,
        /// Replicated facts.
        view: UsageView,
    },
    /// A report was answered.
    Reported {
        /// Reported window.
        window: WindowId,
        /// Term under which it was sent.
        term: Term,
        /// Answer.
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
        /// Fencing number of the report.
        term: Term,
        /// Frozen figures.
        figures: WindowFigures,
    },
    /// The platform holds other figures; an operator must look.
    Alarm {
        /// Window in dispute.
        window: WindowId,
    },
}

/// Freezes and reports usage windows, one at a time and in order.
#[derive(Debug)]
pub struct UsageReporter {
    settings: ReporterSettings,
    term: Option<Term>,
    proposed: Option<(UsageCommand, Millis)>,
    sending: Option<(WindowId, Millis)>,
    failures: u32,
    disputed: Option<WindowId>,
}

impl UsageReporter {
    /// Opens a reporter that is not in charge yet.
    pub fn open(settings: ReporterSettings) -> Self {
        Self {
            settings,
            term: None,
            proposed: None,
            sending: None,
            failures: 0,
            disputed: None,
        }
    }

    fn enter(&mut self, charge: Option<Term>) {
        if self.term != charge {
            self.term = charge;
            self.proposed = None;
            self.sending = None;
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
        if let Some(window) = view.next.filter(|w| self.is_ripe(*w, wall, view)) {
            let length = self.settings.length;
            self.propose(now, UsageCommand::Freeze { window, length }, actions);
        }
        if let Some(figures) = &view.due {
            self.report(now, term, figures, actions);
        }
    }

    fn is_ripe(&self, window: WindowId, wall: WallMillis, view: &UsageView) -> bool {
        let end = (window.0 + 1).saturating_mul(self.settings.length.0);
        let last = end.saturating_add(self.settings.grace.0);
        wall.0 >= last || (view.all_closed && wall.0 >= end)
    }

    fn propose(&mut self, now: Millis, command: UsageCommand, actions: &mut Vec<ReporterAction>) {
        let waiting = self
            .proposed
            .as_ref()
            .is_some_and(|(c, at)| *c == command && now.since(*at) < PROPOSAL_TIMEOUT);
        if !waiting {
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
            .sending
            .is_some_and(|(w, until)| w == window && now < until)
        {
            return;
        }
        self.sending = Some((window, now + REPORT_TIMEOUT));
        actions.push(ReporterAction::Report {
            term,
            figures: figures.clone(),
        });
    }

    fn backoff(&self) -> Millis {
        let factor = 1_u64 << self.failures.min(6);
        Millis(MIN_BACKOFF.0.saturating_mul(factor)).min(MAX_BACKOFF)
    }

    fn reported(
        &mut self,
        now: Millis,
        window: WindowId,
        outcome: ReportOutcome,
        actions: &mut Vec<ReporterAction>,
    ) {
        match outcome {
            ReportOutcome::Accepted => {
                self.failures = 0;
                self.sending = Some((window, now + PROPOSAL_TIMEOUT));
                self.propose(now, UsageCommand::Accept { window }, actions);
            }
            ReportOutcome::Failed => {
                self.failures += 1;
                self.sending = Some((window, now + self.backoff()));
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
            ReporterEvent::Tick { wall, charge, view } => {
                self.enter(charge);
                self.tick(now, wall, &view, actions);
            }
            ReporterEvent::Reported {
                window,
                term,
                outcome,
            } => {
                if self.term == Some(term) {
                    self.reported(now, window, outcome, actions);
                }
            }
        }
    }
}
