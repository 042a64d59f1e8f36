//! Writes each result body to the disks of several store daemons.

use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use futures::StreamExt;
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;

use crate::core::Handle;

/// Longest wait for another daemon to store a result body.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a body that too few disks have stored is written to a further disk. A usual
/// write takes a round trip between zones and one or two syncs.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Writes a body to as many disks as the tolerated losses require; returns whether that many have
/// it. The store that is next in rank replaces one that fails. It also replaces slow ones, but at
/// most as many as there are copies: if all disks are slow, further writes do not help.
pub async fn replicate(core: &Handle, entry: TextEntry) -> bool {
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let placement = core.stores.placement(&view, copies);
    let ordered = placement.write_order(&entry.key.job).into_iter();
    let ordered: Vec<DaemonId> = ordered.map(|m| m.id.clone()).collect();
    let mut next = ordered.into_iter();
    core.stores.texts.cache().put(&entry);
    let (enough, done) = oneshot::channel();
    let core = core.clone();
    // The remaining writes continue after enough disks have the body.
    task::spawn(async move {
        let first = next.by_ref().take(copies);
        let mut writes: FuturesUnordered<_> = first
            .map(|store| write_to(core.clone(), store, entry.clone()))
            .collect();
        let mut stored = 0;
        let mut hedges = copies;
        while stored < copies {
            let needs_substitute = match timeout(HEDGE_DELAY, writes.next()).await {
                Ok(Some(true)) => {
                    stored += 1;
                    false
                }
                Ok(None) if next.len() == 0 => return,
                Ok(Some(false) | None) => true,
                Err(_slow) if hedges == 0 => false,
                Err(_slow) => {
                    hedges -= 1;
                    true
                }
            };
            if needs_substitute && let Some(store) = next.next() {
                writes.push(write_to(core.clone(), store, entry.clone()));
            }
        }
        // The requester may be gone.
        let _gone = enough.send(());
        while writes.next().await.is_some() {}
    });
    done.await.is_ok()
}

async fn write_to(core: Handle, store: DaemonId, entry: TextEntry) -> bool {
    let entries = vec![entry];
    if store == core.identity.daemon {
        return core.stores.texts.write(entries).await;
    }
    let Some(mesh) = core.mesh() else {
        return false;
    };
    let call = CallBody::Texts(TextCall::Keep(entries));
    let answer = mesh.call(&store, call, WRITE_TIMEOUT).await;
    matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true))))
}
