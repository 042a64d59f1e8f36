//! Joins and leaves the cell; on the control leader, removes daemons that do not answer probes.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_control::tables::MembersTable;
use dandelion_net::clock;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::control::MemberCommand;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::time::Millis;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::join_all;

use crate::control::CommandError;
use crate::control::ReplicaHandle;
use crate::control::View;
use crate::core::Handle;

/// Interval at which a daemon checks that it is a member.
const JOIN_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two rounds of probes in a small cell.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Interval between two rounds of probes in a large cell.
const LARGE_PROBE_PERIOD: Duration = Duration::from_secs(5);

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which the members are checked for daemons that stop, well below the time that a stop
/// takes.
const STOPPING_POLL: Duration = Duration::from_millis(50);

/// Consecutive probes without an answer after which a daemon is removed.
const MAX_MISSED: u32 = 4;

/// Joins the cell, and joins it again whenever the daemon was removed, until the process ends.
pub async fn run_join(core: Handle) {
    loop {
        if !core.is_stopping() && !is_joined(&core) {
            let joined = join(&core, false).await;
            match joined {
                Ok(()) => event!(Event::DaemonJoined, daemon = core.identity.daemon),
                Err(error) => log::debug!("not joined yet: {error}"),
            }
        }
        task::sleep(JOIN_PERIOD).await;
    }
}

fn is_joined(core: &Handle) -> bool {
    let view = core.control.view();
    let member = view.member(&core.identity.daemon);
    member.is_some_and(|m| m.incarnation >= core.identity.incarnation && !m.leaving)
}

/// Joins the cell under an incarnation above the member's present one; with `leaving`, announces
/// that the daemon stops soon.
pub async fn join(core: &Handle, leaving: bool) -> Result<(), CommandError> {
    let address = core.mesh_address();
    let gateway = &core.settings.gateway;
    let role = if gateway.folder.is_some() {
        Role::Store
    } else if core.control.replica().is_some() {
        Role::Control
    } else {
        Role::Entry
    };
    // The wall clock may have been set back since the previous incarnation.
    let view = core.control.view();
    let previous = view.member(&core.identity.daemon).map(|m| m.incarnation);
    let lowest = previous.map_or(0, |incarnation| incarnation.0 + 1);
    let member = Member {
        id: core.identity.daemon.clone(),
        zone: core.identity.zone.clone(),
        address: address.to_string(),
        incarnation: Incarnation(clock::wall_now().0.max(lowest)),
        leaving,
        role,
        host: gateway.vm_name.clone(),
    };
    let command = MemberCommand::Join(member);
    core.propose_own::<MembersTable>(&command).await?;
    Ok(())
}

/// Passes the daemons of `role` that stop as planned to `replica` if they differ from `known`.
pub fn update_stopping(
    view: &View,
    role: Role,
    replica: Option<&ReplicaHandle>,
    known: &mut Vec<DaemonId>,
) {
    let leaving = view.members.iter().filter(|m| m.role == role && m.leaving);
    let stopping: Vec<DaemonId> = leaving.map(|m| m.id.clone()).collect();
    let Some(replica) = replica.filter(|_| stopping != *known) else {
        return;
    };
    if replica.set_stopping(stopping.clone()) {
        *known = stopping;
    }
}

/// Passes the control daemons that stop as planned to the replica of the control group, until the process
/// ends.
pub async fn run_stopping(core: Handle) {
    let mut known = Vec::new();
    loop {
        let view = core.control.view();
        update_stopping(&view, Role::Control, core.control.replica(), &mut known);
        task::sleep(STOPPING_POLL).await;
    }
}

/// Removes this daemon from the members, before its process ends.
pub async fn leave(core: &Handle) -> Result<(), CommandError> {
    remove(core, &core.identity.daemon.clone()).await
}

async fn remove(core: &Handle, id: &DaemonId) -> Result<(), CommandError> {
    let view = core.control.view();
    let Some(member) = view.member(id) else {
        return Ok(());
    };
    let command = MemberCommand::Leave {
        id: id.clone(),
        incarnation: member.incarnation,
    };
    core.propose_own::<MembersTable>(&command).await?;
    Ok(())
}

/// On the control leader, probes every daemon and removes those that miss `MAX_MISSED` probes in a
/// row, until the process ends.
pub async fn run_probes(core: Handle) {
    let mut missed: BTreeMap<DaemonId, u32> = BTreeMap::new();
    loop {
        let large = core.control.view().is_large();
        task::sleep(if large {
            LARGE_PROBE_PERIOD
        } else {
            PROBE_PERIOD
        })
        .await;
        let term = core.leader_term(Millis::ZERO);
        if term.is_none() {
            missed.clear();
            continue;
        }
        let silent = probe_all(&core).await;
        missed.retain(|id, _| silent.contains(id));
        for id in silent {
            let count = missed.entry(id.clone()).or_default();
            *count += 1;
            if *count >= MAX_MISSED {
                evict(&core, &id).await;
            }
        }
    }
}

/// Returns the daemons that did not answer a probe in time.
async fn probe_all(core: &Handle) -> Vec<DaemonId> {
    let view = core.control.view();
    let probes = view.members.iter().map(|m| probe(core, &m.id));
    join_all(probes).await.into_iter().flatten().collect()
}

/// Returns the daemon if it did not answer in time.
async fn probe(core: &Handle, id: &DaemonId) -> Option<DaemonId> {
    let mesh = core.mesh()?;
    let answer = mesh.call(id, CallBody::Probe, PROBE_TIMEOUT).await;
    answer.is_err().then(|| id.clone())
}

async fn evict(core: &Handle, id: &DaemonId) {
    event!(Event::DaemonSuspected, daemon = id);
    match remove(core, id).await {
        Ok(()) => event!(Event::DaemonLeft, daemon = id),
        Err(error) => log::warn!("daemon {id} could not be removed: {error}"),
    }
}
