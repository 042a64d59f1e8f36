//! Chooses the engine of an item.
//!
//! Answers the load of a batch job: many items at once, in groups that share a prompt, on engines
//! that run a fixed number of requests and lose work when their memory runs out.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::job::Item;
use crate::scheduler::job::Job;

/// Share of its slots by which an engine may be fuller than another and still be preferred because
/// it holds the group's prompt.
const PROMPT_BONUS: f64 = 0.25;

/// Share of its slots that an engine which failed the item before counts as fuller.
const AVOID_MALUS: f64 = 2.0;

/// Weight of an engine's slowness against the share of its slots that is taken.
const PACE_WEIGHT: f64 = 0.5;

/// Returns the engine that should run an item now, if one can.
pub fn choose<'a>(
    now: Millis,
    engines: &'a BTreeMap<UpstreamId, Engine>,
    job: &Job,
    item: &Item,
) -> Option<&'a Engine> {
    let service = job.service.as_ref()?;
    let fastest = engines
        .values()
        .filter_map(|e| e.pace(now))
        .reduce(f64::min);
    let fits = |engine: &&Engine| {
        engine.life.service == *service
            && engine.is_free(now)
            && engine.has_room(item.tokens)
            && engine.may_serve(now, item.model.as_deref(), job.min_version)
    };
    let holder = job.groups[item.group].engine.as_ref();
    let cost = |engine: &Engine| {
        let id = &engine.life.id;
        let mut cost = engine.load();
        if holder == Some(id) {
            cost -= PROMPT_BONUS;
        }
        if item.avoid.as_ref() == Some(id) {
            cost += AVOID_MALUS;
        }
        if let (Some(pace), Some(fastest)) = (engine.pace(now), fastest) {
            cost += PACE_WEIGHT * (pace / fastest.max(f64::EPSILON) - 1.0);
        }
        cost
    };
    engines
        .values()
        .filter(fits)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Times by which a run must be slower than the usual to be moved.
const SLOW_FACTOR: f64 = 1.7;

/// Times by which an engine may be slower than the usual to take over a run.
const FAIR_FACTOR: f64 = 1.3;

/// Returns whether a run of this pace should go on elsewhere: engines that turn slow hold up every
/// group that has an item there, while reading a prompt and its output again takes a hundredth of
/// the time that is saved.
pub fn is_slow(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    job: &Job,
    item: &Item,
    pace: f64,
) -> bool {
    let mut paces: Vec<f64> = engines.values().filter_map(|e| e.pace(now)).collect();
    paces.sort_by(f64::total_cmp);
    let Some(usual) = paces.get(paces.len().saturating_sub(1) / 2).copied() else {
        return false;
    };
    let takes_over = |engine: &Engine| {
        job.service.as_ref() == Some(&engine.life.service)
            && engine.is_free(now)
            && engine.has_room(item.tokens)
            && engine.may_serve(now, item.model.as_deref(), job.min_version)
            && engine.pace(now).is_some_and(|p| p <= usual * FAIR_FACTOR)
    };
    !job.pure && job.resumable && pace > usual * SLOW_FACTOR && engines.values().any(takes_over)
}
