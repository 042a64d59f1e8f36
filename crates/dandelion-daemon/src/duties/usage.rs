//! Freezes and reports usage windows while this daemon holds the leader lease.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_fleet::usage::ReportOutcome;
use dandelion_fleet::usage::ReporterAction;
use dandelion_fleet::usage::ReporterEvent;
use dandelion_fleet::usage::ReporterSettings;
use dandelion_fleet::usage::UsageCommand;
use dandelion_fleet::usage::UsageReporter;
use dandelion_fleet::usage::UsageTable;
use dandelion_fleet::usage::WindowFigures;
use dandelion_fleet::usage::reporter::UsageView;
use dandelion_kernel::Machine;
use dandelion_net::clock;
use dandelion_platform::orders;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::duties::platform;
use crate::fenced::LEASE_MARGIN;

/// Interval at which the windows are checked.
const TICK: Duration = Duration::from_millis(250);

/// Longest wait after a window's end for daemons that have not closed it; half a window if that is
/// shorter.
const MAX_GRACE: Millis = Millis::from_secs(10);

/// Runs the duty until the process ends; does nothing while this daemon is not the leader.
pub async fn run_usage_duty(core: Handle) {
    let length = core.settings.platform.window;
    let grace = MAX_GRACE.min(Millis(length.0 / 2));
    let mut reporter = UsageReporter::open(ReporterSettings { length, grace });
    loop {
        task::sleep(TICK).await;
        let Some(view) = usage_view(&core) else {
            continue;
        };
        let event = ReporterEvent::Tick {
            wall: clock::wall_now(),
            term: core.leader_term(LEASE_MARGIN),
            view,
        };
        let mut actions = Vec::new();
        reporter.handle(clock::boot_now(), event, &mut actions);
        while let Some(action) = actions.pop() {
            if let Some(event) = execute(&core, action).await {
                reporter.handle(clock::boot_now(), event, &mut actions);
            }
        }
    }
}

fn usage_view(core: &Handle) -> Option<UsageView> {
    let members = core.control.view();
    core.control.replica()?.read::<UsageTable, _, _>(|table| {
        let next = table.next_window();
        let is_closed = |window| {
            let closed = table.closed_daemons(window);
            members.members.iter().all(|m| closed.contains(&m.id))
        };
        UsageView {
            next,
            all_closed: next.is_some_and(is_closed),
            due: table.next_report().map(|w| w.figures.clone()),
        }
    })
}

async fn execute(core: &Handle, action: ReporterAction) -> Option<ReporterEvent> {
    match action {
        ReporterAction::Propose(command) => {
            propose(core, &command).await;
            None
        }
        ReporterAction::Report { term, figures } => Some(report(core, term, &figures).await),
        ReporterAction::Alarm { window } => {
            event!(Event::WindowDisputed, window = window.0);
            None
        }
    }
}

async fn propose(core: &Handle, command: &UsageCommand) {
    match core.propose_own::<UsageTable>(command).await {
        Ok(_) => match command {
            UsageCommand::Freeze { window, .. } => event!(Event::WindowFrozen, window = window.0),
            UsageCommand::Accept { window } => event!(Event::WindowAccepted, window = window.0),
            UsageCommand::Submit(_) => (),
        },
        Err(error) => log::debug!("usage proposal took no effect: {error}"),
    }
}

/// Returns the number of billed requests by team: those of callers, without batch items.
fn requests(figures: &WindowFigures) -> BTreeMap<TeamId, u64> {
    let mut requests = BTreeMap::new();
    let billed = figures
        .usage
        .iter()
        .filter(|c| c.class == Class::Interactive);
    for counts in billed {
        *requests.entry(counts.team.clone()).or_default() += counts.counts.requests;
    }
    requests
}

async fn report(core: &Handle, term: Term, figures: &WindowFigures) -> ReporterEvent {
    let window = figures.window;
    let answer = if core.settings.gateway.is_used() {
        let body = orders::encode_usage(window, &requests(figures));
        platform::post(core, term, orders::USAGE_PATH, body).await
    } else {
        let path = format!("/usage/{}", window.0);
        let body = serde_json::to_vec(figures).unwrap_or_default();
        platform::post(core, term, &path, body).await
    };
    let outcome = match answer.map(|a| a.status) {
        Some(200..=299) => ReportOutcome::Accepted,
        Some(409) => ReportOutcome::Differs,
        Some(_) | None => ReportOutcome::Failed,
    };
    ReporterEvent::Reported {
        window,
        term,
        outcome,
    }
}
