//! Payloads of rollout jobs, stored on this daemon and one of another zone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::rollout::Group;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::payload::BlobId;
use dandelion_rollout::payload::Payload;
use dandelion_route::ownership;
use futures::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::core::Handle;

/// Longest wait for the reply of another daemon.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);

/// A payload and the job that it belongs to.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct BlobName {
    job: JobId,
    blob: BlobId,
}

/// A call on the payloads that another daemon stores.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PayloadCall {
    /// Stores a payload until it is released.
    Keep { name: BlobName, payload: Payload },
    /// Reads a payload.
    Fetch(BlobName),
    /// Removes a payload; for a batch, also all batches up to its cursor.
    Release(BlobName),
    /// Reads the complete groups of a job that are in no batch.
    Groups(JobId),
    /// Removes the complete groups of a job below `first`.
    ReleaseGroups { job: JobId, first: u64 },
}

/// Reply to a [`PayloadCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PayloadReply {
    Done(bool),
    Payload(Option<Payload>),
    Groups(Vec<Arc<Group>>),
}

/// Stores a payload here and on one other daemon, and reports to the job's driver which of the two
/// have stored it.
pub async fn replicate(core: Handle, job: JobId, blob: BlobId, payload: Payload) {
    let name = BlobName {
        job: job.clone(),
        blob,
    };
    let call = PayloadCall::Keep { name, payload };
    let mut holders = Vec::new();
    if matches!(execute(&core, call.clone()), PayloadReply::Done(true)) {
        holders.push(core.identity.daemon.clone());
    }
    if let Some(other) = second_holder(&core, &job)
        && matches!(
            send(&core, &other, &call).await,
            Some(PayloadReply::Done(true))
        )
    {
        holders.push(other);
    }
    notify(&core, &job, Event::Replicated { blob, holders });
}

/// Chooses the second holder by rendezvous hashing among the daemons of other zones, or of this
/// zone if there are no others.
fn second_holder(core: &Handle, job: &JobId) -> Option<DaemonId> {
    let view = core.control.view();
    let own = &core.identity;
    let key = job.as_str().as_bytes();
    let others = || {
        let members = view.members.iter();
        members.filter(|m| m.id != own.daemon && !m.leaving)
    };
    let remote = others().filter(|m| m.zone != own.zone).map(|m| &m.id);
    let holder = ownership::rendezvous(key, remote);
    let holder = holder.or_else(|| ownership::rendezvous(key, others().map(|m| &m.id)));
    holder.cloned()
}

/// Reads a payload here or from the first holder that has it, and reports it to the job's driver.
pub async fn fetch(core: Handle, job: JobId, blob: BlobId, holders: Vec<DaemonId>) {
    let name = BlobName {
        job: job.clone(),
        blob,
    };
    let mut payload = core.rollouts.payloads().get(&job, blob).cloned();
    for holder in holders {
        if payload.is_some() {
            break;
        }
        let reply = send(&core, &holder, &PayloadCall::Fetch(name.clone())).await;
        if let Some(PayloadReply::Payload(found)) = reply {
            payload = found;
        }
    }
    notify(&core, &job, Event::Fetched { blob, payload });
}

/// Collects the complete groups that all daemons store for earlier coordinators of the job, and
/// reports them to the job's driver.
pub async fn recover(core: Handle, job: JobId) {
    let call = PayloadCall::Groups(job.clone());
    let mut found: BTreeMap<u64, Arc<Group>> = BTreeMap::new();
    for reply in call_all(&core, &call).await {
        if let PayloadReply::Groups(groups) = reply {
            found.extend(groups.into_iter().map(|g| (g.group, g)));
        }
    }
    let groups = found.into_values().collect();
    notify(&core, &job, Event::Recovered(groups));
}

/// Removes the complete groups below `first` on every daemon.
pub async fn release_groups(core: Handle, job: JobId, first: u64) {
    call_all(&core, &PayloadCall::ReleaseGroups { job, first }).await;
}

/// Removes a payload on its holders. A holder that is not reached drops it when the job ends.
pub async fn release(core: Handle, job: JobId, blob: BlobId, holders: Vec<DaemonId>) {
    let call = PayloadCall::Release(BlobName { job, blob });
    execute(&core, call.clone());
    for holder in holders.iter().filter(|h| **h != core.identity.daemon) {
        send(&core, holder, &call).await;
    }
}

/// Executes a call on this daemon and all others. Returns the replies of those that answer.
async fn call_all(core: &Handle, call: &PayloadCall) -> Vec<PayloadReply> {
    let view = core.control.view();
    let own = &core.identity.daemon;
    let others = view.members.iter().filter(|m| &m.id != own);
    let sent = join_all(others.map(|m| send(core, &m.id, call))).await;
    let here = execute(core, call.clone());
    sent.into_iter().flatten().chain([here]).collect()
}

async fn send(core: &Handle, to: &DaemonId, call: &PayloadCall) -> Option<PayloadReply> {
    let bytes = codec::encode(call).ok()?;
    let body = CallBody::Payload(bytes);
    match core.mesh()?.call(to, body, HOLDER_TIMEOUT).await {
        Ok(ReplyBody::Payload(bytes)) => codec::decode(&bytes).ok(),
        Ok(_) | Err(_) => None,
    }
}

/// Answers another daemon's call on payloads.
pub fn answer(core: &Handle, bytes: &[u8]) -> ReplyBody {
    let reply = match codec::decode(bytes) {
        Ok(call) => execute(core, call),
        Err(error) => {
            log::debug!("a payload call cannot be decoded: {error}");
            PayloadReply::Done(false)
        }
    };
    let encoded = codec::encode(&reply).unwrap_or_default();
    ReplyBody::Payload(ByteBuf::from(encoded))
}

fn execute(core: &Handle, call: PayloadCall) -> PayloadReply {
    let mut payloads = core.rollouts.payloads();
    match call {
        PayloadCall::Keep { name, payload } => {
            let stored = payloads.put(name.job, name.blob, payload);
            PayloadReply::Done(stored.is_ok())
        }
        PayloadCall::Fetch(name) => {
            PayloadReply::Payload(payloads.get(&name.job, name.blob).cloned())
        }
        PayloadCall::Release(name) => {
            payloads.release(&name.job, name.blob);
            PayloadReply::Done(true)
        }
        PayloadCall::Groups(job) => PayloadReply::Groups(payloads.groups(&job)),
        PayloadCall::ReleaseGroups { job, first } => {
            payloads.release_groups(&job, first);
            PayloadReply::Done(true)
        }
    }
}

fn notify(core: &Handle, job: &JobId, event: Event) {
    if let Some(driver) = core.rollouts.driver(job) {
        driver.handle(core, event);
    }
}
