//! Calls on batch jobs at the daemon in charge.

use std::time::Duration;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::table::BatchCommand;
use dandelion_net::clock;
use dandelion_protocol::batch::BatchCall;
use dandelion_protocol::batch::BatchPage;
use dandelion_protocol::batch::BatchReply;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;

use crate::control::ReplicaHandle;
use crate::core::Handle;
use crate::stores::group::StoreEvent;

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
        BatchCall::Read {
            job,
            team,
            after,
            wait,
        } => read(core, &job, &team, after, wait).await,
        BatchCall::Body { job, team, item } => look(core, |table| {
            let stored = table.of_team(&job, &team);
            let body = stored.and_then(|stored| stored.body(&item));
            body.map(|bytes| BatchReply::Body(bytes.to_vec()))
        }),
    }
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
fn look<F>(core: &Handle, read: F) -> BatchReply
where
    F: FnOnce(&BatchTable) -> Option<BatchReply>,
{
    let replica = core.stores.replica();
    let found = replica.and_then(|r| r.read::<BatchTable, _, _>(read));
    if core.stores.charge(Millis::ZERO).is_none() {
        return not_in_charge(core);
    }
    found.flatten().unwrap_or(BatchReply::Unknown)
}

async fn read(
    core: &Handle,
    job: &str,
    team: &TeamId,
    after: u64,
    wait: Millis,
) -> BatchReply {
    let until = clock::boot_now() + wait;
    loop {
        let reply = look(core, |table| {
            let stored = table.of_team(job, team)?;
            Some(BatchReply::Page(stored.page(after)))
        });
        let waits = matches!(&reply, BatchReply::Page(page) if is_short(page, after));
        if !waits || clock::boot_now() >= until {
            return reply;
        }
        task::sleep(WAIT_PAUSE).await;
    }
}

/// Tells whether a page has nothing new though more is to come.
fn is_short(page: &BatchPage, after: u64) -> bool {
    page.results.is_empty() && after < page.total
}
