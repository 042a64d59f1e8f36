//! Operators' procedures on the cell: status, control group, history and explanations.

use dandelion_control::node::ReplicaStatus;
use dandelion_control::raft::VoterChange;
use dandelion_control::tables::ConfigTable;
use dandelion_kernel::TableSet;
use dandelion_net::clock;
use dandelion_protocol::codec;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;
use dandelion_rpc::Author;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::change;
use dandelion_rpc::convert;
use dandelion_rpc::generated as rpc;
use dandelion_rpc::secret;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::control::ReplicaHandle;
use crate::core::Handle;
use crate::operator::changes;

/// Longest wait until a change of the voters is complete.
const VOTERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of changes listed unless the operator sets a limit.
const HISTORY_LIMIT: usize = 100;

/// Returns the error of a procedure that only control daemons can answer.
pub fn needs_control() -> RpcError {
    RpcError::new(
        ErrorCode::Unavailable,
        "this daemon holds no replica of the control state",
        "ask a control daemon; `dandelionctl` tries the next --daemon",
    )
}

/// Returns the state of the cell. If the request names a revision, first waits until it is applied
/// everywhere or the request's timeout has passed.
pub async fn status(core: &Handle, request: &rpc::StatusRequest) -> rpc::StatusAnswer {
    let held = core.control.revision();
    let revision = request.wait_revision.map_or(held, Revision);
    let limit = Millis(request.timeout_ms);
    let complete = match request.wait_revision {
        Some(_) => changes::wait_complete(core, revision, limit).await,
        None => None,
    };
    let propagation = match complete {
        Some(propagation) => propagation,
        None => changes::propagation(core, revision)
            .await
            .unwrap_or_default(),
    };
    let view = core.control.view();
    let zones: BTreeSet<String> = view.members.iter().map(|m| m.zone.to_string()).collect();
    let leader = core.control.leader();
    rpc::StatusAnswer {
        cell: u32::from(core.settings.cell.0),
        daemon: core.identity.daemon.to_string(),
        leader: leader.map(|l| l.to_string()).unwrap_or_default(),
        term: core.control.replica().map_or(0, |r| r.status().term.0),
        revision: core.control.revision().0,
        reached: propagation.complete,
        daemons_applied: propagation.applied,
        daemons_total: propagation.total,
        zones: zones.into_iter().collect(),
        daemons: view.members.iter().map(|m| daemon(core, m)).collect(),
        evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
    }
}

fn daemon(core: &Handle, member: &Member) -> rpc::DaemonStatus {
    let own = member.id == core.identity.daemon;
    rpc::DaemonStatus {
        id: member.id.to_string(),
        zone: member.zone.to_string(),
        address: member.address.clone(),
        incarnation: member.incarnation.0,
        revision: if own { core.control.revision().0 } else { 0 },
        leased: own && core.control.is_leased(),
        leaving: member.leaving,
    }
}

fn replica(core: &Handle) -> Result<&ReplicaHandle, RpcError> {
    core.control.replica().ok_or_else(needs_control)
}

/// Returns the leader, the log positions and the replicas of the control group.
pub fn control_status(core: &Handle) -> Result<rpc::ControlStatusAnswer, RpcError> {
    let status = replica(core)?.status();
    let leader = status.leader.map(|l| l.to_string());
    Ok(rpc::ControlStatusAnswer {
        leader: leader.unwrap_or_default(),
        term: status.term.0,
        committed: status.commit,
        applied: status.applied.0,
        first: status.snapshot + 1,
        voters: status
            .replicas
            .iter()
            .map(|r| voter(core, status.commit, r))
            .collect(),
    })
}

fn voter(core: &Handle, commit: u64, replica: &ReplicaStatus) -> rpc::Voter {
    let view = core.control.view();
    let address = view.member(&replica.daemon).map(|m| m.address.clone());
    let role = if replica.voter { "voter" } else { "learner" };
    rpc::Voter {
        id: replica.daemon.to_string(),
        address: address.unwrap_or_default(),
        role: role.to_owned(),
        matched: commit.saturating_sub(replica.lag.unwrap_or(0)),
        silent_ms: 0,
    }
}

/// Makes a learner a voter.
pub async fn add_voter(
    core: &Handle,
    request: &rpc::VoterRequest,
) -> Result<rpc::ChangeAnswer, RpcError> {
    let name = convert::parse_name("name", &request.name)?;
    change_voters(core, request.change.as_ref(), VoterChange::Add(name)).await
}

/// Removes a voter or learner from the control group.
pub async fn remove_voter(
    core: &Handle,
    request: &rpc::NameRequest,
) -> Result<rpc::ChangeAnswer, RpcError> {
    let name = convert::parse_name("name", &request.name)?;
    change_voters(core, request.change.as_ref(), VoterChange::Remove(name)).await
}

/// Replaces a lost voter by another daemon.
pub async fn replace_voter(
    core: &Handle,
    request: &rpc::ReplaceVoterRequest,
) -> Result<rpc::ChangeAnswer, RpcError> {
    let old: DaemonId = convert::parse_name("lost", &request.lost)?;
    let new: DaemonId = convert::parse_name("name", &request.name)?;
    change_voters(
        core,
        request.change.as_ref(),
        VoterChange::Replace { old, new },
    )
    .await
}

async fn change_voters(
    core: &Handle,
    change: Option<&rpc::Change>,
    voters: VoterChange,
) -> Result<rpc::ChangeAnswer, RpcError> {
    Author::check(change)?;
    let replica = replica(core)?;
    match replica.change_voters(voters, VOTERS_TIMEOUT).await {
        Some(Ok(())) => Ok(rpc::ChangeAnswer {
            revision: core.control.revision().0,
            daemons_applied: 0,
            daemons_total: 0,
        }),
        Some(Err(error)) => Err(RpcError::new(
            ErrorCode::Conflict,
            &error.to_string(),
            "see `dandelionctl control status`",
        )),
        None => Err(RpcError::new(
            ErrorCode::Unknown,
            "the change of voters is not finished yet",
            "watch `dandelionctl control status`",
        )),
    }
}

/// Exports all replicated tables at the revision of this replica, as CBOR with a digest.
pub fn export_snapshot(core: &Handle) -> Result<rpc::ExportSnapshotAnswer, RpcError> {
    let replica = replica(core)?;
    let image = replica.read_all(TableSet::image);
    let encoded = image.and_then(|image| {
        let bytes = codec::encode(&image)?;
        Ok((image.revision, bytes))
    });
    let (revision, data) = encoded.map_err(|error| {
        RpcError::new(
            ErrorCode::Internal,
            &error.to_string(),
            "report this as a defect",
        )
    })?;
    Ok(rpc::ExportSnapshotAnswer {
        revision: revision.0,
        digest: secret::digest_hex(&data),
        data,
    })
}

/// Lists the newest accepted changes of the configuration, oldest first.
pub fn history(core: &Handle, request: &rpc::HistoryRequest) -> rpc::HistoryAnswer {
    let limit = match request.limit {
        0 => HISTORY_LIMIT,
        limit => limit as usize,
    };
    let from = Revision(request.from_revision);
    let entries = core.control.read_config(|table: &ConfigTable| {
        let newest = table.history().since(from).rev().take(limit);
        let mut entries: Vec<_> = newest
            .map(|change| rpc::HistoryEntry {
                revision: change.revision.0,
                at_ms: change.at.0,
                operator: change.author.clone(),
                request_id: String::new(),
                table: "config".to_owned(),
                summary: change.summary.clone(),
            })
            .collect();
        entries.reverse();
        entries
    });
    rpc::HistoryAnswer {
        entries: entries.unwrap_or_default(),
    }
}

/// Explains a request by the decisions on it, an upstream or a daemon by its known state, and a
/// change by its summary and author.
pub fn explain(
    core: &Handle,
    request: &rpc::ExplainRequest,
) -> Result<rpc::ExplainAnswer, RpcError> {
    let lines = match request.kind.as_str() {
        "request" => explain_request(core, change::parse_request_id(&request.id)?),
        "upstream" => explain_upstream(core, &convert::parse_name("id", &request.id)?),
        "daemon" => explain_daemon(core, &convert::parse_name("id", &request.id)?),
        "change" => explain_change(core, &request.id)?,
        other => {
            return Err(RpcError::invalid(
                "kind",
                &format!("`{}` cannot be explained here", other.escape_default()),
                "send `request`, `upstream`, `daemon` or `change`",
            ));
        }
    };
    if lines.is_empty() {
        return Err(RpcError::new(
            ErrorCode::NotFound,
            "nothing is known of it at this daemon",
            "ask the daemon that took the request or owns the upstream",
        ));
    }
    Ok(rpc::ExplainAnswer { lines })
}

fn line(at_ms: u64, text: String) -> rpc::ExplainLine {
    rpc::ExplainLine { at_ms, text }
}

fn explain_request(core: &Handle, id: RequestId) -> Vec<rpc::ExplainLine> {
    let skew = clock::wall_now().0.saturating_sub(clock::boot_now().0);
    let trace = core.trace();
    let entries = trace.explain(id);
    entries
        .iter()
        .map(|entry| line(entry.at.0 + skew, format!("{:?}", entry.decision)))
        .collect()
}

fn explain_upstream(core: &Handle, id: &UpstreamId) -> Vec<rpc::ExplainLine> {
    let records = core.owners.records();
    let found = records.iter().filter(|r| &r.last.upstream == id);
    found
        .map(|record| {
            let last = &record.last;
            let text = format!(
                "boot {} announced as {} at {}, announcement {}, leaving: {}, silent: {}",
                last.boot, last.service, last.address, last.sequence, record.leaving, record.silent
            );
            line(0, text)
        })
        .collect()
}

fn explain_daemon(core: &Handle, id: &DaemonId) -> Vec<rpc::ExplainLine> {
    let view = core.control.view();
    let member = view.member(id);
    member
        .map(|m| {
            let text = format!(
                "member of zone {} at {}, life {}, leaving: {}",
                m.zone, m.address, m.incarnation, m.leaving
            );
            line(0, text)
        })
        .into_iter()
        .collect()
}

fn explain_change(core: &Handle, id: &str) -> Result<Vec<rpc::ExplainLine>, RpcError> {
    let revision: u64 = id.parse().map_err(|_not_number| {
        RpcError::invalid(
            "id",
            "it is not a revision",
            "send the revision as a number",
        )
    })?;
    let request = rpc::HistoryRequest {
        from_revision: revision,
        limit: u32::MAX,
    };
    let entries = history(core, &request).entries;
    let found = entries.into_iter().filter(|e| e.revision == revision);
    Ok(found
        .map(|e| line(e.at_ms, format!("{} by {}", e.summary, e.operator)))
        .collect())
}
