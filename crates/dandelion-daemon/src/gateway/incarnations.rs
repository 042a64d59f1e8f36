//! Handles the reports of upstreams on the control daemons.

use std::time::Duration;

use async_std::task;
use dandelion_control::tables::UpstreamsCommand;
use dandelion_control::tables::UpstreamsTable;
use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::IncarnationReport;
use dandelion_protocol::incarnations::UpstreamEnd;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::limits::is_cold;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::CommandError;
use crate::core::Handle;
use crate::gateway::state::LastReport;

/// Time without a report after which an upstream is removed. It is about a dozen report periods, so
/// that an upstream that is cut off from the control daemons only is still used for a while.
const SILENCE_TIMEOUT: Millis = Millis(15_000);

/// Interval at which upstreams are checked for silence.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Records that an upstream reported, here or to another control daemon.
pub fn record_report(core: &Handle, id: &UpstreamId, born: WallMillis) {
    let at = clock::boot_now();
    core.gateway
        .last_reports()
        .insert(id.clone(), LastReport { born, at });
}

/// Handles a report. Returns once anything new in it is recorded in the replicated table.
pub async fn report(core: &Handle, report: IncarnationReport) -> Result<(), CommandError> {
    record_report(core, &report.life.id, report.life.born);
    forward_report(core, &report);
    let view = core.control.view();
    let known = view.upstream(&report.life.id);
    let known = known.filter(|known| known.born == report.life.born);
    let was_cold = known.map(|known| view.is_cold(&known.id, known.born));
    let cold = is_cold(&report, was_cold, view.plan.as_deref());
    let life = report.life;
    // Each report of a cold upstream is recorded, so that its number outdates a late one that says
    // that the upstream is warm, and the first one after that.
    let is_warm = !cold && was_cold == Some(false);
    if is_warm && known.is_some_and(|known| includes(known, &life)) {
        return Ok(());
    }
    let command = UpstreamsCommand::Report {
        life: life.clone(),
        sequence: report.sequence,
        cold,
    };
    match core.propose_own::<UpstreamsTable>(&command).await {
        Ok(applied) => event!(
            Event::LifeReported,
            upstream = life.id,
            service = life.service,
            born = life.born.0,
            sequence = report.sequence,
            ready = life.ready,
            cold = cold,
            revision = applied.revision
        ),
        Err(CommandError::Rejected(_)) => event!(
            Event::ReportOutdated,
            upstream = life.id,
            born = life.born.0,
            sequence = report.sequence,
            ready = life.ready,
            view = view.revision
        ),
        Err(failed) => return Err(failed),
    }
    Ok(())
}

/// Returns whether what is known of an incarnation makes a report of it no news: one that leaves stays
/// so, whatever it reports.
fn includes(known: &UpstreamIncarnation, reported: &UpstreamIncarnation) -> bool {
    let ready = known.ready && reported.ready;
    *known
        == UpstreamIncarnation {
            ready,
            ..reported.clone()
        }
}

/// Records that an upstream announced its end.
pub async fn end(core: &Handle, end: UpstreamEnd) -> Result<(), CommandError> {
    let id = end.id.clone();
    let command = UpstreamsCommand::End(end);
    let applied = core.propose_own::<UpstreamsTable>(&command).await?;
    event!(
        Event::LifeEnded,
        upstream = id,
        reason = "said_so",
        revision = applied.revision
    );
    Ok(())
}

/// Forwards a report to the leader of the store group and the control leader, if they need it.
fn forward_report(core: &Handle, report: &IncarnationReport) {
    let Some(mesh) = core.mesh() else {
        return;
    };
    let own = &core.identity.daemon;
    let to = [core.gateway.jobs_leader(), core.control.leader()];
    let upstreams = core.control.view().incarnations.len();
    let mut forwards = core.gateway.forwards();
    let due = forwards.is_due(clock::boot_now(), report, &to, upstreams);
    drop(forwards);
    if !due {
        return;
    }
    for daemon in to.iter().flatten().filter(|d| *d != own) {
        // A later report replaces a lost one.
        let _lost = mesh.send(daemon, MeshMessage::Lived(report.clone()));
    }
}

/// Removes upstreams that have not reported for `SILENCE_TIMEOUT`, until the process ends; only
/// the control leader does so. The timeout starts no earlier than its leadership, since a new
/// leader may not have received earlier reports.
pub async fn run_expiry(core: Handle) {
    let mut leading_since = None;
    loop {
        task::sleep(CHECK_PERIOD).await;
        let now = clock::boot_now();
        core.gateway.forwards().expire(now);
        let Some(term) = core.leader_term(Millis::ZERO) else {
            leading_since = None;
            continue;
        };
        core.gateway.limits.begin_term(term);
        let since = *leading_since.get_or_insert(now);
        let view = core.control.view();
        for incarnation in view.incarnations.iter() {
            if last_report(&core, incarnation).max(since) + SILENCE_TIMEOUT < now {
                remove_silent(&core, incarnation).await;
            }
        }
        let known = |id: &UpstreamId| view.upstream(id).is_some();
        core.gateway
            .last_reports()
            .retain(|id, last| known(id) || last.at + SILENCE_TIMEOUT > now);
    }
}

fn last_report(core: &Handle, incarnation: &UpstreamIncarnation) -> Millis {
    let reports = core.gateway.last_reports();
    let known = reports
        .get(&incarnation.id)
        .filter(|r| r.born == incarnation.born);
    known.map_or(Millis::ZERO, |r| r.at)
}

async fn remove_silent(core: &Handle, incarnation: &UpstreamIncarnation) {
    let command = UpstreamsCommand::Forget {
        id: incarnation.id.clone(),
        born: incarnation.born,
    };
    match core.propose_own::<UpstreamsTable>(&command).await {
        Ok(applied) => event!(
            Event::LifeEnded,
            upstream = incarnation.id,
            reason = "silent",
            born = incarnation.born.0,
            ready = incarnation.ready,
            reported_ms = (clock::boot_now().since(last_report(core, incarnation)).0),
            revision = applied.revision
        ),
        Err(error) => log::debug!("upstream {} is not removed: {error}", incarnation.id),
    }
}
