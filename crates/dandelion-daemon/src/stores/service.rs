//! Serves calls on batch jobs at the leader of the store group.

use std::sync::Arc;
use std::time::Duration;

use dandelion_batch::BatchTable;
use dandelion_batch::table::BatchCommand;
use dandelion_control::Timing;
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

/// Longest wait until the table is read again for a reader that waits for a result. It is woken by a
/// result; one that the former leader listed wakes nobody.
const READ_PERIOD: Duration = Duration::from_millis(200);

/// Answers a call, or names the leader if this daemon does not lead the store group.
pub async fn answer(core: &Handle, call: BatchCall) -> BatchReply {
    if core.stores.leader_term(Millis::ZERO).is_none() {
        return not_leader(core);
    }
    match call {
        BatchCall::Submit(job) => {
            let id = job.id.clone();
            let job = Box::new(Arc::unwrap_or_clone(job));
            let reply = change(core, BatchCommand::Submit(job)).await;
            if reply == BatchReply::Done {
                core.stores.notify(StoreEvent::Submitted(id));
            }
            reply
        }
        BatchCall::End { job, team } => {
            let id = job.clone();
            let reply = change(core, BatchCommand::End { job, team }).await;
            if reply == BatchReply::Done {
                core.stores.notify(StoreEvent::Ended(id));
            }
            reply
        }
        BatchCall::Emptied(daemon) => check_emptied(core, &daemon).await,
        BatchCall::Read {
            job,
            team,
            after,
            wait,
        } => read(core, &job, &team, after, wait).await,
        BatchCall::Body { job, team, item } => {
            let body = read_table(core, |table| {
                let stored = table.of_team(&job, &team);
                let body = stored.and_then(|stored| stored.body(&item));
                body.map(|bytes| BatchReply::Body(bytes.to_vec()))
            });
            body.unwrap_or_else(|| not_leader(core))
        }
    }
}

/// Answers whether a departing daemon has no replica any more and all result bodies are stored
/// on the other daemons. A store that has not applied what was committed when its departure was
/// first checked may lack bodies that it does not know of.
async fn check_emptied(core: &Handle, daemon: &DaemonId) -> BatchReply {
    let Some(replica) = core.stores.replica() else {
        return not_leader(core);
    };
    let status = replica.status();
    let now = clock::boot_now();
    let begun = core.stores.begin_emptying(daemon, status.commit, now);
    let has_replica = status.replicas.iter().any(|r| r.daemon == *daemon);
    // A replica counts as alive if it replied to a message sent within the last promise. After that
    // time the message named the commit index, so that an entry stored by then has been applied.
    if has_replica || now < begun.at + Timing::default().promise {
        return BatchReply::NotYet;
    }
    let view = core.control.view();
    let stores = texts::placement(core, &view);
    let mut others = stores.usable().filter(|m| m.id != core.identity.daemon);
    let have_applied = others.all(|m| status.has_stored(&m.id, begun.index));
    if !have_applied || !texts::are_replicated(core).await {
        return BatchReply::NotYet;
    }
    BatchReply::Done
}

fn not_leader(core: &Handle) -> BatchReply {
    let leader = core.stores.replica().and_then(ReplicaHandle::leader);
    BatchReply::NotInCharge(leader)
}

async fn change(core: &Handle, command: BatchCommand) -> BatchReply {
    match core.stores.change(&command).await {
        Ok(answer) if answer.result.is_ok() => BatchReply::Done,
        Ok(_rejected) => BatchReply::Unknown,
        Err(ProposeError::NoLeader | ProposeError::Overloaded) => not_leader(core),
        Err(error @ ProposeError::TooLong { .. }) => {
            // Entries of this release check the length of a job; one of an earlier release refuses the
            // job as not run.
            log::warn!("refused a change of the jobs: {error}");
            BatchReply::NotInCharge(None)
        }
        Err(ProposeError::Unknown) => BatchReply::Unsure,
    }
}

/// Reads the table of jobs. Returns nothing if the replica's disk is stalled or if this daemon is
/// not the leader after the read: only a leader's state is known to be the newest.
fn read_table<F>(core: &Handle, read: F) -> Option<BatchReply>
where
    F: FnOnce(&BatchTable) -> Option<BatchReply>,
{
    let found = core.stores.replica()?.try_read::<BatchTable, _, _>(read)?;
    core.stores.leader_term(Millis::ZERO)?;
    Some(found.unwrap_or(BatchReply::Unknown))
}

async fn read(core: &Handle, job: &str, team: &TeamId, after: u64, wait: Millis) -> BatchReply {
    let until = clock::boot_now() + wait;
    loop {
        let listed = core.stores.listings.subscribe(job);
        let reply = read_table(core, |table| {
            let stored = table.of_team(job, team)?;
            let total = stored.job.items.len() as u64;
            let listed = stored.page(after).to_vec();
            Some(BatchReply::Page(ListedPage {
                total,
                next: after.min(total) + listed.len() as u64,
                listed,
            }))
        });
        let Some(reply) = reply else {
            return not_leader(core);
        };
        let must_wait = matches!(&reply, BatchReply::Page(page) if page.listed.is_empty() && after < page.total);
        let now = clock::boot_now();
        if !must_wait || now >= until {
            return reply;
        }
        let remaining = Duration::from_millis(until.since(now).0);
        listed.wait(remaining.min(READ_PERIOD)).await;
    }
}
