//! Calls on batch jobs at the daemon in charge.

use std::time::Duration;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::table::BatchCommand;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchCall;
use dandelion_protocol::batch::BatchReply;
use dandelion_protocol::batch::ListedPage;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;

use crate::control::ReplicaHandle;
use crate::core::Handle;
use crate::stores::group::StoreEvent;
use crate::stores::texts;

/// Pause between two looks for a result that a reader waits for.
const WAIT_PAUSE: Duration = Duration::from_millis(40);

/// Answers a call.
pub async fn answer(core: &Handle, call: BatchCall) -> BatchReply {
    if core.stores.charge(Millis::ZERO).is_none() {
        return not_in_charge(core);
    }
    match call {
        BatchCall::Submit(job) => {
            let id = job.id.clone();
            let reply = change(core, BatchCommand::Submit(job)).await;
            if reply == BatchReply::Done {
                core.stores.tell(StoreEvent::Submitted(id));
            }
            reply
        }
        BatchCall::End { job, team } => {
            let id = job.clone();
            let reply = change(core, BatchCommand::End { job, team }).await;
            if reply == BatchReply::Done {
                core.stores.tell(StoreEvent::Ended(id));
            }
            reply
        }
        BatchCall::Emptied(daemon) => emptied(core, &daemon).await,
        BatchCall::Read {
            job,
            team,
            after,
            wait,
        } => read(core, &job, &team, after, wait).await,
        BatchCall::Body { job, team, item } => {
            let body = look(core, |table| {
                let stored = table.of_team(&job, &team);
                let body = stored.and_then(|stored| stored.body(&item));
                body.map(|bytes| BatchReply::Body(bytes.to_vec()))
            });
            body.unwrap_or_else(|| not_in_charge(core))
        }
    }
}

/// Tells whether a daemon that leaves has no replica any more and every text is held elsewhere.
async fn emptied(core: &Handle, daemon: &DaemonId) -> BatchReply {
    let Some(replica) = core.stores.replica() else {
        return not_in_charge(core);
    };
    let has_replica = replica
        .status()
        .replicas
        .iter()
        .any(|r| r.daemon == *daemon);
    if has_replica || !texts::are_spread(core).await {
        return BatchReply::NotYet;
    }
    BatchReply::Done
}

fn not_in_charge(core: &Handle) -> BatchReply {
    let leader = core.stores.replica().and_then(ReplicaHandle::leader);
    BatchReply::NotInCharge(leader)
}

async fn change(core: &Handle, command: BatchCommand) -> BatchReply {
    match core.stores.change(&command).await {
        Ok(answer) if answer.result.is_ok() => BatchReply::Done,
        Ok(_rejected) => BatchReply::Unknown,
        Err(ProposeError::NoLeader | ProposeError::Overloaded) => not_in_charge(core),
        Err(ProposeError::Unknown) => BatchReply::Unsure,
    }
}

/// Reads the table. What is read is the newest state only if this daemon is still in charge
/// afterwards.
fn look<F>(core: &Handle, read: F) -> Option<BatchReply>
where
    F: FnOnce(&BatchTable) -> Option<BatchReply>,
{
    let found = core.stores.replica()?.look::<BatchTable, _, _>(read)?;
    core.stores.charge(Millis::ZERO)?;
    Some(found.unwrap_or(BatchReply::Unknown))
}

async fn read(core: &Handle, job: &str, team: &TeamId, after: u64, wait: Millis) -> BatchReply {
    let until = clock::boot_now() + wait;
    loop {
        let looked = look(core, |table| {
            let stored = table.of_team(job, team)?;
            let total = stored.job.items.len() as u64;
            let listed = stored.page(after).to_vec();
            Some(BatchReply::Page(ListedPage {
                total,
                next: after.min(total) + listed.len() as u64,
                listed,
            }))
        });
        let Some(reply) = looked else {
            return not_in_charge(core);
        };
        let waits = matches!(&reply, BatchReply::Page(page) if page.listed.is_empty() && after < page.total);
        if !waits || clock::boot_now() >= until {
            return reply;
        }
        task::sleep(WAIT_PAUSE).await;
    }
}
