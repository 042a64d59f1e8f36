//! Operators' procedure on the progress of a rollout job.

use dandelion_protocol::ids::JobId;
use dandelion_rollout::coordinator::RolloutCounts;
use dandelion_rollout::ledger::LedgerTable;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::convert;
use dandelion_rpc::generated as rpc;

use crate::core::Handle;

/// Returns a job and its progress. The ledger's figures are present only on a control daemon, the
/// coordinator's only on the daemon that coordinates the job.
pub fn show(core: &Handle, request: &rpc::GetJobRequest) -> Result<rpc::GetJobAnswer, RpcError> {
    let id: JobId = convert::parse_name("name", &request.name)?;
    let view = core.control.view();
    let job = view.config.jobs.get(&id).ok_or_else(|| {
        RpcError::new(
            ErrorCode::NotFound,
            &format!("job `{id}` does not exist"),
            "list the jobs with `dandelionctl job list`",
        )
    })?;
    let mut progress = rpc::JobProgress {
        version: view.config.versions.get(&id).map(|v| v.0),
        ..rpc::JobProgress::default()
    };
    add_ledger(core, &id, &mut progress);
    if let Some(counts) = core.rollouts.counts(&id) {
        add_counts(&counts, &mut progress);
    }
    let daemon = view.coordinator(&id).map(ToString::to_string);
    Ok(rpc::GetJobAnswer {
        revision: view.config_revision.0,
        job: Some(job.into()),
        daemon: daemon.unwrap_or_default(),
        progress: Some(progress),
    })
}

fn add_ledger(core: &Handle, id: &JobId, progress: &mut rpc::JobProgress) {
    let Some(replica) = core.control.replica() else {
        return;
    };
    let read = replica.read::<LedgerTable, _, _>(|table| {
        let job = table.job(id)?;
        Some((job.view(), job.acknowledged(), job.tokens()))
    });
    let Some(Some((view, acknowledged, tokens))) = read else {
        return;
    };
    progress.cursor = view.next;
    progress.samples_acknowledged = acknowledged;
    progress.groups_waiting = view.fed.saturating_sub(view.done.len());
    progress.tokens_spent = tokens.spent;
    progress.tokens_reserved = tokens.committed.saturating_sub(tokens.spent);
}

fn add_counts(counts: &RolloutCounts, progress: &mut rpc::JobProgress) {
    progress.tokens_wasted = counts.wasted;
    progress.discarded = counts
        .unattributed
        .iter()
        .map(|(reason, samples)| rpc::Discarded {
            reason: reason.to_string(),
            samples: *samples,
        })
        .collect();
}
