//! Unfinished outputs of long runs, stored on two disks while the runs continue, so that a new
//! leader resumes the runs instead of starting them again.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_protocol::batch::Partial;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use futures::future::join_all;

use crate::core::Handle;

/// Number of top-ranked stores among which the store for the second copy is chosen: of two, at
/// least one is not this daemon.
const REPLICA_CANDIDATES: usize = 2;

/// Longest wait for another daemon to store an unfinished output.
const SAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait of a new leader for the unfinished outputs on another store.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Stores an unfinished output here and at one other daemon in the background.
pub fn save(core: &Handle, job: String, partial: Partial) {
    let view = core.control.view();
    let own = &core.identity.daemon;
    let placement = core.stores.placement(&view, REPLICA_CANDIDATES);
    let mut candidates = placement.holders(&job).into_iter().map(|m| &m.id);
    let other = candidates.find(|id| *id != own).cloned();
    let core = core.clone();
    task::spawn(async move {
        if let (Some(mesh), Some(other)) = (core.mesh(), other) {
            let call = TextCall::KeepPartial {
                job: job.clone(),
                partial: partial.clone(),
            };
            // The run's next checkpoint replaces a lost one.
            let _lost = mesh.call(&other, CallBody::Texts(call), SAVE_TIMEOUT).await;
        }
        save_local(&core, job, partial).await;
    });
}

/// Writes an unfinished output to this daemon's disk and returns whether it is durable.
pub async fn save_local(core: &Handle, job: String, partial: Partial) -> bool {
    let key = TextKey {
        job,
        item: partial.item.clone(),
        digest: partial.last,
    };
    let Ok(text) = serde_json::to_string(&partial) else {
        return false;
    };
    core.stores
        .partials
        .write(vec![TextEntry { key, text }])
        .await
}

/// Returns the longest unfinished output of each item of a job on this daemon's disk.
pub fn local_partials(core: &Handle, job: &str) -> Vec<Partial> {
    let mut longest: BTreeMap<String, TextKey> = BTreeMap::new();
    for key in core.stores.partials.job_keys(job) {
        // Keys are sorted by item and number of the last event.
        longest.insert(key.item.clone(), key);
    }
    let texts = longest
        .into_values()
        .filter_map(|key| core.stores.partials.read(&key));
    texts
        .filter_map(|text| serde_json::from_str(&text).ok())
        .collect()
}

/// Returns the longest unfinished output of each item of a job on this and all other stores.
pub async fn collect(core: &Handle, job: &str) -> BTreeMap<String, Partial> {
    let view = core.control.view();
    let others = view.stores().map(|m| m.id.clone());
    let others = others.filter(|id| *id != core.identity.daemon);
    let requests = others.map(|id| request(core, id, job.to_owned()));
    let answers = join_all(requests).await;
    let mut longest: BTreeMap<String, Partial> = BTreeMap::new();
    for partial in answers
        .into_iter()
        .flatten()
        .chain(local_partials(core, job))
    {
        let known = longest.get(&partial.item).map_or(0, |p| p.last);
        if partial.last > known {
            longest.insert(partial.item.clone(), partial);
        }
    }
    longest
}

async fn request(core: &Handle, store: DaemonId, job: String) -> Vec<Partial> {
    let Some(mesh) = core.mesh() else {
        return Vec::new();
    };
    let call = CallBody::Texts(TextCall::ReadPartials(job));
    match mesh.call(&store, call, READ_TIMEOUT).await {
        Ok(ReplyBody::Texts(TextReply::Partials(partials))) => partials,
        Ok(_) | Err(_) => Vec::new(),
    }
}
