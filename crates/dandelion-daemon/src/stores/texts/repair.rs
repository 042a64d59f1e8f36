//! Restores missing result bodies on the disks that should have them.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::holders::MissingBody;
use dandelion_batch::holders::Placement;
use dandelion_batch::holders::body_key;
use dandelion_batch::holders::survey;
use dandelion_batch::table::StoredJob;
use dandelion_net::clock;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::Millis;
use futures::future::join_all;

use crate::control::View;
use crate::core::Handle;
use crate::stores::texts::fetch::fetch;
use crate::stores::texts::shortage::Shortage;

/// Longest wait for another daemon to report whether it has all bodies that it should have.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a store to return missing bodies. Several stores may copy from one at once, which
/// has a fraction of a core for it.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which missing bodies are searched for and fetched.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// A round fetches no further missing bodies once those it has chosen have at least this many
/// bytes.
const REPAIR_BYTES: u64 = 512 * 1024;

/// Time after which a body that no store returned is requested again. The stores that have it may be
/// restarting; the other missing bodies are fetched meanwhile.
const RETRY_PERIOD: Millis = Millis(1_000);

/// Missing bodies that no store returned, with the time from which they are requested again.
#[derive(Debug, Default)]
struct Deferred(BTreeMap<TextKey, Millis>);

impl Deferred {
    /// Drops the bodies that are due again.
    fn expire(&mut self, now: Millis) {
        self.0.retain(|_, due| now < *due);
    }

    /// Defers those of the requested bodies that were not returned.
    fn defer(&mut self, requested: Vec<MissingBody>, returned: &[TextEntry], now: Millis) {
        let returned: HashSet<&TextKey> = returned.iter().map(|entry| &entry.key).collect();
        let unavailable = requested.into_iter().map(|body| body.key);
        let unavailable = unavailable.filter(|key| !returned.contains(key));
        self.0
            .extend(unavailable.map(|key| (key, now + RETRY_PERIOD)));
    }
}

/// Returns whether this daemon and all other store daemons that are neither being retired nor lost
/// have all bodies that they should have.
pub async fn are_replicated(core: &Handle) -> bool {
    let view = core.control.view();
    let placement = placement(core, &view);
    for store in placement.usable().filter(|m| m.id != core.identity.daemon) {
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
    missing(core, &Deferred::default()).is_some_and(|missing| missing.is_empty())
}

/// Fetches bodies that this daemon should have but has not, and deletes those of removed jobs,
/// until the process ends.
pub async fn run_repair(core: Handle) {
    let mut deferred = Deferred::default();
    let mut shortage = Shortage::default();
    loop {
        task::sleep(REPAIR_PERIOD).await;
        delete_removed(&core);
        deferred.expire(clock::boot_now());
        while let Some(missing) = missing(&core, &deferred) {
            shortage.update(&core, &missing, deferred.0.len());
            if missing.is_empty() {
                break;
            }
            let entries = fetch_missing(&core, &missing).await;
            deferred.defer(missing, &entries, clock::boot_now());
            let fetched = entries.len();
            if fetched > 0 && !core.stores.texts.write(entries).await {
                break;
            }
            shortage.add_fetched(fetched);
        }
    }
}

/// Reads missing bodies from the other stores: of each job from those that should have them first.
async fn fetch_missing(core: &Handle, missing: &[MissingBody]) -> Vec<TextEntry> {
    let view = core.control.view();
    let placement = placement(core, &view);
    let mut jobs: BTreeMap<&str, Vec<MissingBody>> = BTreeMap::new();
    for body in missing {
        let bodies = jobs.entry(&body.key.job).or_default();
        bodies.push(body.clone());
    }
    let fetches = jobs.into_iter().map(|(job, bodies)| {
        let sources = placement.sources(job).into_iter().map(|m| &m.id);
        let sources = sources.filter(|id| **id != core.identity.daemon).cloned();
        let sources: Vec<DaemonId> = sources.collect();
        async move { fetch(core, bodies, &sources, READ_TIMEOUT).await }
    });
    join_all(fetches).await.into_iter().flatten().collect()
}

/// Returns where result bodies are placed.
pub fn placement<'a>(core: &Handle, view: &'a View) -> Placement<'a> {
    let copies = core.settings.gateway.tolerate + 1;
    core.stores.placement(view, copies)
}

/// Returns listed bodies that this daemon should have but has not, as many as one round fetches and
/// without the deferred ones. Returns nothing while the answer is unknown, because a disk is stalled
/// or this daemon is not a member of the group yet.
fn missing(core: &Handle, deferred: &Deferred) -> Option<Vec<MissingBody>> {
    let replica = core.stores.replica()?;
    let view = core.control.view();
    let placement = placement(core, &view);
    let texts = &core.stores.texts;
    let own = &core.identity.daemon;
    let is_deferred = |key: &TextKey| deferred.0.contains_key(key);
    let mut verified = texts.verified.lock().expect("no holder panics");
    let read = replica.try_read::<BatchTable, _, _>(|table| {
        let mut missing = Vec::new();
        let mut budget = REPAIR_BYTES;
        for (job, stored) in table.jobs() {
            let from = verified.get(job).copied().unwrap_or(0);
            let is_verified = from >= stored.results.len() && stored.unscored().is_empty();
            if is_verified || budget == 0 || !placement.holders(job).iter().any(|m| m.id == *own) {
                continue;
            }
            let holds = |key: &TextKey| texts.holds(key);
            let survey = survey(job, &stored.results, from, budget, holds, is_deferred)?;
            if survey.held > from {
                verified.insert(job.clone(), survey.held);
            }
            let bytes: u64 = survey.lacking.iter().map(|w| w.length).sum();
            budget = budget.saturating_sub(bytes);
            missing.extend(survey.lacking);
            let unscored = unscored_missing(job, stored, holds)?;
            missing.extend(unscored.into_iter().filter(|body| !is_deferred(&body.key)));
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
