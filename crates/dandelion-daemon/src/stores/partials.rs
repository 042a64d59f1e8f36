//! Unfinished outputs of long runs: kept on two disks while the runs go on, so that the next daemon in
//! charge does not begin them anew.

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
use crate::stores::texts;

/// Daemons that may hold an unfinished output beside the one in charge: one of them is another.
const PARTIAL_COPIES: usize = 2;

/// Longest wait for another daemon to take an unfinished output.
const KEEP_LIMIT: Duration = Duration::from_secs(1);

/// Longest wait for the unfinished outputs of others when a daemon takes charge.
const READ_LIMIT: Duration = Duration::from_millis(300);

/// Keeps an unfinished output here and at one other daemon, without waiting for either.
pub fn keep(core: &Handle, job: String, partial: Partial) {
    let view = core.control.view();
    let own = &core.identity.daemon;
    let holders = texts::holders(&view, &job, PARTIAL_COPIES);
    let other = holders.into_iter().find(|holder| holder != own);
    let core = core.clone();
    task::spawn(async move {
        if let (Some(mesh), Some(other)) = (core.mesh(), other) {
            let call = TextCall::KeepPartial {
                job: job.clone(),
                partial: partial.clone(),
            };
            // The next one makes a lost one good.
            let _lost = mesh.call(&other, CallBody::Texts(call), KEEP_LIMIT).await;
        }
        keep_here(&core, job, partial).await;
    });
}

/// Keeps an unfinished output on this daemon's disk.
pub async fn keep_here(core: &Handle, job: String, partial: Partial) -> bool {
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
        .keep(vec![TextEntry { key, text }])
        .await
}

/// Returns the longest unfinished output of each item of a job that this daemon holds.
pub fn held_here(core: &Handle, job: &str) -> Vec<Partial> {
    let mut longest: BTreeMap<String, TextKey> = BTreeMap::new();
    for key in core.stores.partials.keys_of(job) {
        // Keys come by item and number of the last event.
        longest.insert(key.item.clone(), key);
    }
    let texts = longest
        .into_values()
        .filter_map(|key| core.stores.partials.read(&key));
    texts
        .filter_map(|text| serde_json::from_str(&text).ok())
        .collect()
}

/// Returns the longest unfinished output of each item of a job, from here and from other stores.
pub async fn collect(core: &Handle, job: &str) -> BTreeMap<String, Partial> {
    let view = core.control.view();
    let others = view.stores().map(|m| m.id.clone());
    let others = others.filter(|id| *id != core.identity.daemon);
    let asked = others.map(|id| ask(core, id, job.to_owned()));
    let answers = join_all(asked).await;
    let mut longest: BTreeMap<String, Partial> = BTreeMap::new();
    for partial in answers.into_iter().flatten().chain(held_here(core, job)) {
        let known = longest.get(&partial.item).map_or(0, |p| p.last);
        if partial.last > known {
            longest.insert(partial.item.clone(), partial);
        }
    }
    longest
}

async fn ask(core: &Handle, store: DaemonId, job: String) -> Vec<Partial> {
    let Some(mesh) = core.mesh() else {
        return Vec::new();
    };
    let call = CallBody::Texts(TextCall::ReadPartials(job));
    match mesh.call(&store, call, READ_LIMIT).await {
        Ok(ReplyBody::Texts(TextReply::Partials(partials))) => partials,
        Ok(_) | Err(_) => Vec::new(),
    }
}
