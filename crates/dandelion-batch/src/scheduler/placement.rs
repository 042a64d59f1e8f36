//! Chooses the engine for an item.
//!
//! Designed for the load of batch jobs: many items arrive at once, in groups that share a prompt,
//! and engines run a fixed number of requests and lose work when they run out of memory.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::job::Item;
use crate::scheduler::job::Job;

/// Cost reduction, in shares of slots, for the engine that ran the group's latest item and so has
/// its prompt in memory.
const PROMPT_BONUS: f64 = 0.25;

/// Cost added, in shares of slots, to the engine on which the item's latest run ended without a
/// result.
const AVOID_PENALTY: f64 = 2.0;

/// Cost, in shares of slots, of an event interval that is twice as long as the fastest engine's;
/// proportional to the excess.
const SLOWNESS_WEIGHT: f64 = 0.5;

/// Time in which an engine generates an event, for the decision whether to wait for an engine that
/// can continue an output.
const EVENT_TIME: Millis = Millis(40);

/// Longest time for which an output waits for an engine that can continue it.
const MAX_CONTINUE_WAIT: Millis = Millis(2_000);

/// Returns the engine for a run of the item now, and whether that run continues the item's output.
///
/// An output waits for an engine of its software for as long as it takes to generate it again, and
/// not at all if there is none: waiting then costs at most as much again as starting anew at once.
pub fn choose_run<'a>(
    now: Millis,
    engines: &'a BTreeMap<UpstreamId, Engine>,
    job: &Job,
    item: &Item,
) -> Option<(&'a Engine, bool)> {
    let Some((output, since)) = &item.kept else {
        return Some((choose_engine(now, engines, job, item)?, false));
    };
    if let Some(engine) = choose_engine(now, engines, job, item) {
        return Some((engine, true));
    }
    let serves = |engine: &Engine| {
        job.service.as_ref() == Some(&engine.life.service)
            && engine.life.ready
            && output.software.may_continue_at(&engine.life.software)
    };
    let patience = Millis(output.events * EVENT_TIME.0).min(MAX_CONTINUE_WAIT);
    if engines.values().any(serves) && now < *since + patience {
        return None;
    }
    let anew = Item {
        kept: None,
        ..item.clone()
    };
    Some((choose_engine(now, engines, job, &anew)?, false))
}

/// Returns the engine with the lowest cost that can run the item now, and continue its output if
/// there is any. The cost is the share of the engine's slots in use, corrected by the constants
/// above.
fn choose_engine<'a>(
    now: Millis,
    engines: &'a BTreeMap<UpstreamId, Engine>,
    job: &Job,
    item: &Item,
) -> Option<&'a Engine> {
    let service = job.service.as_ref()?;
    let fastest = engines
        .values()
        .filter_map(|e| e.event_interval(now))
        .reduce(f64::min);
    let fits = |engine: &&Engine| {
        engine.life.service == *service
            && engine.accepts_runs(now)
            && engine.fits_memory(item.tokens)
            && engine.may_serve(now, item.model.as_deref(), job.min_version)
            && item.may_continue_at(&engine.life.software)
    };
    let prompt_engine = job.groups[item.group].engine.as_ref();
    let cost = |engine: &Engine| {
        let id = &engine.life.id;
        let mut cost = engine.utilization();
        if prompt_engine == Some(id) {
            cost -= PROMPT_BONUS;
        }
        if item.avoid.as_ref() == Some(id) {
            cost += AVOID_PENALTY;
        }
        if let (Some(interval), Some(fastest)) = (engine.event_interval(now), fastest) {
            cost += SLOWNESS_WEIGHT * (interval / fastest.max(f64::EPSILON) - 1.0);
        }
        cost
    };
    engines
        .values()
        .filter(fits)
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// A run is moved if its event interval is more than this many times the median of the engines.
const SLOW_FACTOR: f64 = 1.7;

/// An engine can take over a run if its event interval is at most this multiple of the median.
const TARGET_FACTOR: f64 = 1.3;

/// Returns whether a run with this event interval, on an engine with this software, should be moved to
/// another engine. An engine that
/// turns slow delays every group that has an item there, while processing the prompt and the output
/// so far again takes a hundredth of the time saved.
pub fn should_move(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    job: &Job,
    item: &Item,
    software: &SoftwareVersion,
    interval: f64,
) -> bool {
    let mut intervals: Vec<f64> = engines
        .values()
        .filter_map(|e| e.event_interval(now))
        .collect();
    intervals.sort_by(f64::total_cmp);
    let Some(median) = intervals
        .get(intervals.len().saturating_sub(1) / 2)
        .copied()
    else {
        return false;
    };
    let can_resume = |engine: &Engine| {
        job.service.as_ref() == Some(&engine.life.service)
            && software.may_continue_at(&engine.life.software)
            && engine.accepts_runs(now)
            && engine.fits_memory(item.tokens)
            && engine.may_serve(now, item.model.as_deref(), job.min_version)
            && engine
                .event_interval(now)
                .is_some_and(|i| i <= median * TARGET_FACTOR)
    };
    !job.pure
        && job.resumable
        && interval > median * SLOW_FACTOR
        && engines.values().any(can_resume)
}
