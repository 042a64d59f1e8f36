//! Payloads kept here and at a daemon of another zone.

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

/// Longest wait for another holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Serialize, Deserialize)]
struct BlobName {
    job: JobId,
    blob: BlobId,
}

/// What one daemon asks of another's payloads.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Ask {
    Keep { name: BlobName, payload: Payload },
    Fetch(BlobName),
    Release(BlobName),
    Groups(JobId),
    ReleaseGroups { job: JobId, first: u64 },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reply {
    Done(bool),
    Payload(Option<Payload>),
    Groups(Vec<Arc<Group>>),
}

/// Keeps a payload here and at one daemon of another zone, and reports who holds it.
pub async fn replicate(core: Handle, job: JobId, blob: BlobId, payload: Payload) {
    let name = BlobName {
        job: job.clone(),
        blob,
    };
    let ask = Ask::Keep { name, payload };
    let mut holders = Vec::new();
    if matches!(carry_out(&core, ask.clone()), Reply::Done(true)) {
        holders.push(core.identity.daemon.clone());
    }
    if let Some(other) = second_holder(&core, &job)
        && matches!(send(&core, &other, &ask).await, Some(Reply::Done(true)))
    {
        holders.push(other);
    }
    tell(&core, &job, Event::Replicated { blob, holders });
}

/// Chooses the second holder: in another zone if there is one.
fn second_holder(core: &Handle, job: &JobId) -> Option<DaemonId> {
    let view = core.control.view();
    let own = &core.identity;
    let key = job.as_str().as_bytes();
    let others = || {
        let members = view.members.iter();
        members.filter(|m| m.id != own.daemon && !m.leaving)
    };
    let away = others().filter(|m| m.zone != own.zone).map(|m| &m.id);
    let holder = ownership::rendezvous(key, away);
    let holder = holder.or_else(|| ownership::rendezvous(key, others().map(|m| &m.id)));
    holder.cloned()
}

/// Fetches a payload from here or from any holder.
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
        let reply = send(&core, &holder, &Ask::Fetch(name.clone())).await;
        if let Some(Reply::Payload(found)) = reply {
            payload = found;
        }
    }
    tell(&core, &job, Event::Fetched { blob, payload });
}

/// Collects the whole groups that daemons kept from the time before this one took charge.
pub async fn recover(core: Handle, job: JobId) {
    let ask = Ask::Groups(job.clone());
    let mut found: BTreeMap<u64, Arc<Group>> = BTreeMap::new();
    for reply in ask_all(&core, &ask).await {
        if let Reply::Groups(groups) = reply {
            found.extend(groups.into_iter().map(|g| (g.group, g)));
        }
    }
    let groups = found.into_values().collect();
    tell(&core, &job, Event::Recovered(groups));
}

/// Lets every daemon forget the whole groups below `first`.
pub async fn release_groups(core: Handle, job: JobId, first: u64) {
    ask_all(&core, &Ask::ReleaseGroups { job, first }).await;
}

/// Lets the holders forget a payload; one that stays behind is dropped with the job.
pub async fn release(core: Handle, job: JobId, blob: BlobId, holders: Vec<DaemonId>) {
    let ask = Ask::Release(BlobName { job, blob });
    carry_out(&core, ask.clone());
    for holder in holders.iter().filter(|h| **h != core.identity.daemon) {
        send(&core, holder, &ask).await;
    }
}

/// Asks this daemon and all others; those that do not answer are left out.
async fn ask_all(core: &Handle, ask: &Ask) -> Vec<Reply> {
    let view = core.control.view();
    let own = &core.identity.daemon;
    let others = view.members.iter().filter(|m| &m.id != own);
    let sent = join_all(others.map(|m| send(core, &m.id, ask))).await;
    let here = carry_out(core, ask.clone());
    sent.into_iter().flatten().chain([here]).collect()
}

async fn send(core: &Handle, to: &DaemonId, ask: &Ask) -> Option<Reply> {
    let bytes = codec::encode(ask).ok()?;
    let call = CallBody::Payload(bytes);
    match core.mesh()?.call(to, call, HOLDER_TIMEOUT).await {
        Ok(ReplyBody::Payload(bytes)) => codec::decode(&bytes).ok(),
        Ok(_) | Err(_) => None,
    }
}

/// Answers another daemon's call about payloads.
pub fn answer(core: &Handle, bytes: &[u8]) -> ReplyBody {
    let reply = match codec::decode(bytes) {
        Ok(ask) => carry_out(core, ask),
        Err(error) => {
            log::debug!("a payload call was not understood: {error}");
            Reply::Done(false)
        }
    };
    let encoded = codec::encode(&reply).unwrap_or_default();
    ReplyBody::Payload(ByteBuf::from(encoded))
}

fn carry_out(core: &Handle, ask: Ask) -> Reply {
    let mut payloads = core.rollouts.payloads();
    match ask {
        Ask::Keep { name, payload } => {
            let kept = payloads.put(name.job, name.blob, payload);
            Reply::Done(kept.is_ok())
        }
        Ask::Fetch(name) => Reply::Payload(payloads.get(&name.job, name.blob).cloned()),
        Ask::Release(name) => {
            payloads.release(&name.job, name.blob);
            Reply::Done(true)
        }
        Ask::Groups(job) => Reply::Groups(payloads.groups(&job)),
        Ask::ReleaseGroups { job, first } => {
            payloads.release_groups(&job, first);
            Reply::Done(true)
        }
    }
}

fn tell(core: &Handle, job: &JobId, event: Event) {
    if let Some(driver) = core.rollouts.driver(job) {
        driver.handle(core, event);
    }
}
