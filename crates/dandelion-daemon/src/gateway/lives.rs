//! Reports of upstreams at the control daemons.

use std::time::Duration;

use async_std::task;
use dandelion_control::tables::LifeCommand;
use dandelion_control::tables::LivesTable;
use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamEnd;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::lives::UpstreamReport;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::Failed;
use crate::core::Handle;
use crate::gateway::state::Heard;

/// Time without a report after which an upstream is forgotten: a dozen of its periods, so that one
/// that is cut off from the control daemons only is still used.
const SILENCE: Millis = Millis(15_000);

/// Time between two looks for silent upstreams.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// Notes that an upstream was heard, here or by another control daemon.
pub fn heard(core: &Handle, id: &UpstreamId, born: WallMillis) {
    let at = clock::boot_now();
    core.gateway.heard().insert(id.clone(), Heard { born, at });
}

/// Takes a report in. The answer comes once what is new in it is recorded.
pub async fn report(core: &Handle, report: UpstreamReport) -> Result<(), Failed> {
    heard(core, &report.life.id, report.life.born);
    pass_on(core, &report);
    let view = core.control.view();
    if view.lives.contains(&report.life) {
        return Ok(());
    }
    let life = report.life;
    let command = LifeCommand::Report {
        life: life.clone(),
        sequence: report.sequence,
    };
    settle(core.propose_own::<LivesTable>(&command).await)?;
    event!(
        Event::LifeReported,
        upstream = life.id,
        service = life.service,
        born = life.born.0,
        sequence = report.sequence,
        ready = life.ready
    );
    Ok(())
}

/// Records that an upstream ends.
pub async fn end(core: &Handle, end: UpstreamEnd) -> Result<(), Failed> {
    let id = end.id.clone();
    let command = LifeCommand::End(end);
    settle(core.propose_own::<LivesTable>(&command).await)?;
    event!(Event::LifeEnded, upstream = id, reason = "said_so");
    Ok(())
}

/// A report that is outdated needs nothing to be recorded.
fn settle<T>(result: Result<T, Failed>) -> Result<(), Failed> {
    match result {
        Ok(_) | Err(Failed::Rejected(_)) => Ok(()),
        Err(failed) => Err(failed),
    }
}

/// Tells the daemon in charge of the batch jobs and the control leader.
fn pass_on(core: &Handle, report: &UpstreamReport) {
    let Some(mesh) = core.mesh() else {
        return;
    };
    let own = &core.identity.daemon;
    let to = [core.gateway.jobs_leader(), core.control.leader()];
    for daemon in to.iter().flatten().filter(|d| *d != own) {
        // The next report makes a lost one good.
        let _lost = mesh.send(daemon, MeshMessage::Lived(report.clone()));
    }
}

/// On the control leader, forgets upstreams that were not heard for long.
pub async fn run_expiry(core: Handle) {
    let mut leading_since = None;
    loop {
        task::sleep(LOOK_PERIOD).await;
        let now = clock::boot_now();
        if core.charge(Millis::ZERO).is_none() {
            leading_since = None;
            continue;
        }
        let since = *leading_since.get_or_insert(now);
        let view = core.control.view();
        for life in view.lives.iter() {
            if last_heard(&core, life).max(since) + SILENCE < now {
                forget(&core, life).await;
            }
        }
        let known = |id: &UpstreamId| view.lives.iter().any(|life| life.id == *id);
        core.gateway
            .heard()
            .retain(|id, heard| known(id) || heard.at + SILENCE > now);
    }
}

fn last_heard(core: &Handle, life: &UpstreamLife) -> Millis {
    let heard = core.gateway.heard();
    let known = heard.get(&life.id).filter(|h| h.born == life.born);
    known.map_or(Millis::ZERO, |h| h.at)
}

async fn forget(core: &Handle, life: &UpstreamLife) {
    let command = LifeCommand::Forget {
        id: life.id.clone(),
        born: life.born,
    };
    match core.propose_own::<LivesTable>(&command).await {
        Ok(_) => event!(Event::LifeEnded, upstream = life.id, reason = "silent"),
        Err(error) => log::debug!("upstream {} is not forgotten: {error}", life.id),
    }
}
