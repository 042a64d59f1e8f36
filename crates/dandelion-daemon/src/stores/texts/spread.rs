//! Writes each text to the disks of several store daemons.

use std::time::Duration;

use async_std::future::timeout;
use async_std::task;
use dandelion_batch::holders::rank;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use futures::StreamExt;
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;

use crate::control::View;
use crate::core::Handle;

/// Longest wait for another daemon to keep a text.
const KEEP_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a text that too few disks have is written to a further one: a usual write takes
/// a round trip between zones and one or two syncs.
const HEDGE_AFTER: Duration = Duration::from_millis(60);

/// Returns the daemons that should hold the texts of a job.
pub fn holders(view: &View, job: &str, copies: usize) -> Vec<DaemonId> {
    let ranked = rank(view.stores(), job).into_iter().take(copies);
    ranked.map(|m| m.id.clone()).collect()
}

/// Keeps a text on as many disks as must outlive a loss; returns whether they all have it. The next
/// one in rank stands in for a disk that fails, and for at most as many slow ones as copies are
/// needed: where all are slow, more writes make none faster.
pub async fn spread(core: &Handle, entry: TextEntry) -> bool {
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let ranked = rank(view.stores(), &entry.key.job).into_iter();
    let ranked: Vec<DaemonId> = ranked.map(|m| m.id.clone()).collect();
    let mut next = ranked.into_iter();
    core.stores.texts.cache().put(&entry);
    let (enough, done) = oneshot::channel();
    let core = core.clone();
    // The writes go on after enough disks have the text.
    task::spawn(async move {
        let first = next.by_ref().take(copies);
        let mut writes: FuturesUnordered<_> = first
            .map(|holder| keep_at(core.clone(), holder, entry.clone()))
            .collect();
        let mut kept = 0;
        let mut hedges = copies;
        while kept < copies {
            let stands_in = match timeout(HEDGE_AFTER, writes.next()).await {
                Ok(Some(true)) => {
                    kept += 1;
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
            if stands_in && let Some(holder) = next.next() {
                writes.push(keep_at(core.clone(), holder, entry.clone()));
            }
        }
        // The one who asked may be gone.
        let _gone = enough.send(());
        while writes.next().await.is_some() {}
    });
    done.await.is_ok()
}

async fn keep_at(core: Handle, holder: DaemonId, entry: TextEntry) -> bool {
    let entries = vec![entry];
    if holder == core.identity.daemon {
        return core.stores.texts.keep(entries).await;
    }
    let Some(mesh) = core.mesh() else {
        return false;
    };
    let call = CallBody::Texts(TextCall::Keep(entries));
    let answer = mesh.call(&holder, call, KEEP_LIMIT).await;
    matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true))))
}
