//! Payloads kept here and at a daemon of another zone.

use std::time::Duration;

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_rollout::coordinator::Event;
use dandelion_rollout::payload::BlobId;
use dandelion_rollout::payload::Payload;
use dandelion_route::ownership;
use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::core::Handle;

/// Longest wait for another holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize, Deserialize)]
struct BlobName {
    job: JobId,
    blob: BlobId,
}

#[derive(Debug, Serialize, Deserialize)]
struct Blob {
    name: BlobName,
    payload: Payload,
}

/// Keeps a payload here and at one daemon of another zone, and reports who holds it.
pub async fn replicate(core: Handle, job: JobId, blob: BlobId, payload: Payload) {
    let mut holders = Vec::new();
    if keep_here(&core, &job, blob, payload.clone()) {
        holders.push(core.identity.daemon.clone());
    }
    if let Some(other) = second_holder(&core, &job)
        && keep_there(&core, &other, &job, blob, payload).await
    {
        holders.push(other);
    }
    if let Some(driver) = core.rollouts.driver(&job) {
        driver.handle(&core, Event::Replicated { blob, holders });
    }
}

fn keep_here(core: &Handle, job: &JobId, blob: BlobId, payload: Payload) -> bool {
    let kept = core.rollouts.payloads().put(job.clone(), blob, payload);
    kept.is_ok()
}

async fn keep_there(
    core: &Handle,
    holder: &DaemonId,
    job: &JobId,
    blob: BlobId,
    payload: Payload,
) -> bool {
    let name = BlobName {
        job: job.clone(),
        blob,
    };
    let Ok(bytes) = codec::encode(&Blob { name, payload }) else {
        return false;
    };
    let Some(mesh) = core.mesh() else {
        return false;
    };
    let reply = mesh
        .call(holder, CallBody::KeepPayload(bytes), HOLDER_TIMEOUT)
        .await;
    matches!(reply, Ok(ReplyBody::Kept(true)))
}

/// Chooses the second holder: in another zone if there is one.
fn second_holder(core: &Handle, job: &JobId) -> Option<DaemonId> {
    let view = core.control.view();
    let own = &core.identity;
    let key = job.as_str().as_bytes();
    let others = || {
        view.members
            .iter()
            .filter(|m| m.id != own.daemon && !m.leaving)
    };
    let away = others().filter(|m| m.zone != own.zone).map(|m| &m.id);
    let holder = ownership::rendezvous(key, away);
    let holder = holder.or_else(|| ownership::rendezvous(key, others().map(|m| &m.id)));
    holder.cloned()
}

/// Fetches a payload from here or from any holder.
pub async fn fetch(core: Handle, job: JobId, blob: BlobId, holders: Vec<DaemonId>) {
    let mut payload = core.rollouts.payloads().get(&job, blob).cloned();
    for holder in holders {
        if payload.is_some() {
            break;
        }
        payload = fetch_from(&core, &holder, &job, blob).await;
    }
    if let Some(driver) = core.rollouts.driver(&job) {
        driver.handle(&core, Event::Fetched { blob, payload });
    }
}

async fn fetch_from(
    core: &Handle,
    holder: &DaemonId,
    job: &JobId,
    blob: BlobId,
) -> Option<Payload> {
    let name = encode_name(job, blob)?;
    let mesh = core.mesh()?;
    let reply = mesh
        .call(holder, CallBody::FetchPayload(name), HOLDER_TIMEOUT)
        .await;
    match reply {
        Ok(ReplyBody::Payload(Some(bytes))) => codec::decode(&bytes).ok(),
        Ok(_) | Err(_) => None,
    }
}

/// Lets the holders forget a payload.
pub async fn release(core: Handle, job: JobId, blob: BlobId, holders: Vec<DaemonId>) {
    core.rollouts.payloads().release(&job, blob);
    let Some(name) = encode_name(&job, blob) else {
        return;
    };
    let Some(mesh) = core.mesh() else {
        return;
    };
    for holder in holders.iter().filter(|h| **h != core.identity.daemon) {
        // A payload that stays behind is dropped with the job.
        let call = CallBody::ReleasePayload(name.clone());
        let _lost = mesh.call(holder, call, HOLDER_TIMEOUT).await;
    }
}

fn encode_name(job: &JobId, blob: BlobId) -> Option<Vec<u8>> {
    let name = BlobName {
        job: job.clone(),
        blob,
    };
    codec::encode(&name).ok()
}

/// Answers other daemons' calls about payloads.
pub fn answer(core: &Handle, call: &CallBody) -> ReplyBody {
    match call {
        CallBody::KeepPayload(bytes) => ReplyBody::Kept(keep(core, bytes)),
        CallBody::FetchPayload(bytes) => ReplyBody::Payload(find(core, bytes)),
        CallBody::ReleasePayload(bytes) => {
            if let Ok(name) = codec::decode::<BlobName>(bytes) {
                core.rollouts.payloads().release(&name.job, name.blob);
            }
            ReplyBody::Kept(false)
        }
        _ => ReplyBody::Kept(false),
    }
}

fn keep(core: &Handle, bytes: &[u8]) -> bool {
    match codec::decode::<Blob>(bytes) {
        Ok(blob) => keep_here(core, &blob.name.job, blob.name.blob, blob.payload),
        Err(_) => false,
    }
}

fn find(core: &Handle, bytes: &[u8]) -> Option<ByteBuf> {
    let name: BlobName = codec::decode(bytes).ok()?;
    let payloads = core.rollouts.payloads();
    let payload = payloads.get(&name.job, name.blob)?;
    codec::encode(payload).ok().map(ByteBuf::from)
}
