//! Restores missing result bodies on the disks that should have them.

use std::time::Duration;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::holders::MissingBody;
use dandelion_batch::holders::body_key;
use dandelion_batch::holders::survey;
use dandelion_batch::table::StoredJob;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;

use crate::core::Handle;
use crate::stores::texts::fetch::fetch;
use crate::stores::texts::replicate::replica_stores;

/// Longest wait for another daemon to report whether it has all bodies that it should have.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which missing bodies are searched for and fetched.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// A round fetches no further missing bodies once those it has chosen have at least this many
/// bytes.
const REPAIR_BYTES: u64 = 512 * 1024;

/// Returns whether this daemon and all other store daemons that are not being retired have all
/// bodies that they should have.
pub async fn are_replicated(core: &Handle) -> bool {
    let view = core.control.view();
    for store in view.stores().filter(|m| m.id != core.identity.daemon) {
        let Some(mesh) = core.mesh() else {
            return false;
        };
        let call = CallBody::Texts(TextCall::Complete);
        let answer = mesh.call(&store.id, call, CALL_TIMEOUT).await;
        if !matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true)))) {
            return false;
        }
    }
    is_complete(core)
}

/// Returns whether this daemon has all bodies that it should have; false while a disk is stalled.
pub(super) fn is_complete(core: &Handle) -> bool {
    missing(core).is_some_and(|missing| missing.is_empty())
}

/// Fetches bodies that this daemon should have but has not, and deletes those of removed jobs,
/// until the process ends.
pub async fn run_repair(core: Handle) {
    loop {
        task::sleep(REPAIR_PERIOD).await;
        delete_removed(&core);
        while let Some(missing) = missing(&core).filter(|missing| !missing.is_empty()) {
            let requested = missing.len();
            let view = core.control.view();
            let stores = view.members.iter().filter(|m| m.role == Role::Store);
            let others = stores.filter(|m| m.id != core.identity.daemon);
            let others: Vec<DaemonId> = others.map(|m| m.id.clone()).collect();
            let entries = fetch(&core, missing, &others).await;
            let complete = entries.len() == requested;
            if entries.is_empty() || !core.stores.texts.write(entries).await || !complete {
                break;
            }
        }
    }
}

/// Returns listed bodies that this daemon should have but has not, as many as one round fetches.
/// Returns nothing while a stalled disk makes the answer unknown.
fn missing(core: &Handle) -> Option<Vec<MissingBody>> {
    let Some(replica) = core.stores.replica() else {
        // This daemon is not a member of the group yet and should have no bodies.
        return Some(Vec::new());
    };
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let texts = &core.stores.texts;
    let own = &core.identity.daemon;
    let mut verified = texts.verified.lock().expect("no holder panics");
    let read = replica.try_read::<BatchTable, _, _>(|table| {
        let mut missing = Vec::new();
        let mut budget = REPAIR_BYTES;
        for (job, stored) in table.jobs() {
            let from = verified.get(job).copied().unwrap_or(0);
            let is_verified = from >= stored.results.len() && stored.unscored().is_empty();
            if is_verified || budget == 0 || !replica_stores(&view, job, copies).contains(own) {
                continue;
            }
            let survey = survey(job, &stored.results, from, budget, |key| texts.holds(key))?;
            if survey.held > from {
                verified.insert(job.clone(), survey.held);
            }
            let bytes: u64 = survey.lacking.iter().map(|w| w.length).sum();
            budget = budget.saturating_sub(bytes);
            missing.extend(survey.lacking);
            missing.extend(unscored_missing(job, stored, |key| texts.holds(key))?);
        }
        Some(missing)
    });
    let missing = read.flatten();
    if missing.is_none() {
        log::warn!("a disk of this daemon is stalled; its result bodies are checked later");
    }
    missing
}

/// Returns the outputs waiting for their score that are missing on a disk; none if `holds` has no
/// answer.
fn unscored_missing<H>(job: &str, stored: &StoredJob, holds: H) -> Option<Vec<MissingBody>>
where
    H: Fn(&TextKey) -> Option<bool>,
{
    let mut missing = Vec::new();
    for result in stored.unscored().values() {
        if let Some(key) = body_key(job, result)
            && !holds(&key)?
        {
            let length = result.text.map_or(0, |text| text.length);
            missing.push(MissingBody { key, length });
        }
    }
    Some(missing)
}

fn delete_removed(core: &Handle) {
    let texts = &core.stores.texts;
    let mut verified = texts.verified.lock().expect("no holder panics");
    let known: Vec<String> = verified.keys().cloned().collect();
    let replica = core.stores.replica();
    let removed = replica.and_then(|r| {
        r.try_read::<BatchTable, _, _>(|table| {
            let removed = known
                .into_iter()
                .filter(|job| !table.jobs().contains_key(job));
            removed.collect::<Vec<_>>()
        })
    });
    for job in removed.unwrap_or_default() {
        verified.remove(&job);
        texts.delete_job(&job);
        core.stores.partials.delete_job(&job);
    }
}
