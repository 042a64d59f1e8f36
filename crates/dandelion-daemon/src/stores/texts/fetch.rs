//! Reads result bodies from the store daemons that have a replica of them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use dandelion_batch::holders::MissingBody;
use dandelion_batch::holders::body_key;
use dandelion_batch::holders::split_calls;
use dandelion_protocol::batch::BatchPage;
use dandelion_protocol::batch::BatchResult;
use dandelion_protocol::batch::ListedPage;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use futures::future::join_all;

use crate::core::Handle;

/// Longest wait of a reader for one store daemon to return result bodies.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Adds the bodies to the results that the leader of the store group listed. Returns nothing if a
/// body cannot be read now. Replicas in the reader's own zone are read first.
pub async fn read_results(
    core: &Handle,
    job: &str,
    page: ListedPage,
    leader: Option<&DaemonId>,
) -> Option<BatchPage> {
    let missing = page.listed.iter().filter_map(|listed| {
        Some(MissingBody {
            key: body_key(job, listed)?,
            length: listed.text?.length,
        })
    });
    let view = core.control.view();
    let copies = core.settings.gateway.tolerate + 1;
    let zone = &core.identity.zone;
    let placement = core.stores.placement(&view, copies);
    let stores = placement.read_order(job, zone, leader);
    let stores: Vec<DaemonId> = stores.into_iter().map(|m| m.id.clone()).collect();
    let entries = fetch(core, missing.collect(), &stores, READ_TIMEOUT).await;
    let mut texts: HashMap<TextKey, String> = entries
        .into_iter()
        .map(|entry| (entry.key, entry.text))
        .collect();
    let mut results = Vec::with_capacity(page.listed.len());
    for listed in page.listed {
        let text = match body_key(job, &listed) {
            Some(key) => Some(texts.remove(&key)?),
            None => None,
        };
        results.push(BatchResult {
            id: listed.id,
            text,
            versions: listed.versions,
            score: listed.score,
        });
    }
    Some(BatchPage {
        total: page.total,
        results,
        next: page.next,
    })
}

/// Reads result bodies from store daemons, one daemon after the other, until all are found. Each
/// daemon has at most `limit` to answer.
pub async fn fetch(
    core: &Handle,
    mut missing: Vec<MissingBody>,
    stores: &[DaemonId],
    limit: Duration,
) -> Vec<TextEntry> {
    let mut found = Vec::new();
    for store in stores {
        if missing.is_empty() {
            break;
        }
        let requests = split_calls(&missing).into_iter();
        let answers = join_all(requests.map(|keys| request(core, store, keys, limit))).await;
        let entries: Vec<TextEntry> = answers.into_iter().flatten().collect();
        let returned: HashSet<&TextKey> = entries.iter().map(|entry| &entry.key).collect();
        missing.retain(|body| !returned.contains(&body.key));
        found.extend(entries);
    }
    found
}

async fn request(
    core: &Handle,
    store: &DaemonId,
    keys: Vec<TextKey>,
    limit: Duration,
) -> Vec<TextEntry> {
    let Some(mesh) = core.mesh() else {
        return Vec::new();
    };
    let call = CallBody::Texts(TextCall::Read(keys));
    match mesh.call(store, call, limit).await {
        Ok(ReplyBody::Texts(TextReply::Read(entries))) => entries,
        Ok(_) => Vec::new(),
        Err(error) => {
            log::debug!("result bodies cannot be read at {store}: {error:?}");
            Vec::new()
        }
    }
}
