//! Brings texts back to the disks that should hold them.

use std::time::Duration;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::holders::Wanted;
use dandelion_batch::holders::survey;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;

use crate::core::Handle;
use crate::stores::texts::fetch::fetch;
use crate::stores::texts::spread::holders;

/// Longest wait for another daemon to say whether it holds all that it should.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Time between two looks for texts that are missing here.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// Bytes of texts that are asked for at once.
const REPAIR_BYTES: u64 = 512 * 1024;

/// Returns whether every other store daemon that stays holds all texts that it should.
pub async fn are_spread(core: &Handle) -> bool {
    let view = core.control.view();
    for store in view.stores().filter(|m| m.id != core.identity.daemon) {
        let Some(mesh) = core.mesh() else {
            return false;
        };
        let call = CallBody::Texts(TextCall::Complete);
        let answer = mesh.call(&store.id, call, CALL_LIMIT).await;
        if !matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true)))) {
            return false;
        }
    }
    is_complete(core)
}

/// Returns whether this daemon certainly holds all texts that it should.
pub(super) fn is_complete(core: &Handle) -> bool {
    missing(core).is_some_and(|missing| missing.is_empty())
}

/// Fetches texts that should be here and are not, and forgets those of jobs that are gone, until
/// the process ends.
pub async fn run_repair(core: Handle) {
    loop {
        task::sleep(REPAIR_PERIOD).await;
        forget_gone(&core);
        while let Some(missing) = missing(&core).filter(|missing| !missing.is_empty()) {
            let wanted = missing.len();
            let view = core.control.view();
            let stores = view.members.iter().filter(|m| m.role == Role::Store);
            let others = stores.filter(|m| m.id != core.identity.daemon);
            let others: Vec<DaemonId> = others.map(|m| m.id.clone()).collect();
            let entries = fetch(&core, missing, &others).await;
            let complete = entries.len() == wanted;
            if entries.is_empty() || !core.stores.texts.keep(entries).await || !complete {
                break;
            }
        }
    }
}

/// Returns listed texts that this daemon should hold and lacks, as many as are asked for at once;
/// nothing while a stalled disk does not tell.
fn missing(core: &Handle) -> Option<Vec<Wanted>> {
    let Some(replica) = core.stores.replica() else {
        // It does not belong to the group yet and should hold nothing.
        return Some(Vec::new());
    };
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let texts = &core.stores.texts;
    let own = &core.identity.daemon;
    let mut checked = texts.checked.lock().expect("no holder panics");
    let looked = replica.look::<BatchTable, _, _>(|table| {
        let mut missing = Vec::new();
        let mut left = REPAIR_BYTES;
        for (job, stored) in table.jobs() {
            let from = checked.get(job).copied().unwrap_or(0);
            let whole = from >= stored.results.len();
            if whole || left == 0 || !holders(&view, job, copies).contains(own) {
                continue;
            }
            let survey = survey(job, &stored.results, from, left, |key| texts.holds(key))?;
            if survey.held > from {
                checked.insert(job.clone(), survey.held);
            }
            let bytes: u64 = survey.lacking.iter().map(|w| w.length).sum();
            left = left.saturating_sub(bytes);
            missing.extend(survey.lacking);
        }
        Some(missing)
    });
    let missing = looked.flatten();
    if missing.is_none() {
        log::warn!("a disk of this daemon is stalled; its texts are looked for later");
    }
    missing
}

fn forget_gone(core: &Handle) {
    let texts = &core.stores.texts;
    let mut checked = texts.checked.lock().expect("no holder panics");
    let known: Vec<String> = checked.keys().cloned().collect();
    let replica = core.stores.replica();
    let gone = replica.and_then(|r| {
        r.look::<BatchTable, _, _>(|table| {
            let gone = known
                .into_iter()
                .filter(|job| !table.jobs().contains_key(job));
            gone.collect::<Vec<_>>()
        })
    });
    for job in gone.unwrap_or_default() {
        checked.remove(&job);
        texts.forget(&job);
        core.stores.partials.forget(&job);
    }
}
