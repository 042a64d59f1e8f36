//! Decides which engines load the versions that trainers name, a few at a time.
//!
//! Trainers name a version and submit their next step at the same moment, and a step starts with
//! more items than there are slots. Engines that can still serve the step therefore load only after
//! its first burst is placed.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::engine::Loading;
use crate::scheduler::event::OrderOutcome;

/// Number of engines with a known version per load that is allowed at a time. The number of loads
/// is rounded to the nearest and at least 1; more at once only slow each other down.
const ENGINES_PER_LOAD: usize = 5;

/// Initial and lowest estimate of the time that a load takes: the engines' data sheet says 0.9 s,
/// and the answer to the order arrives meanwhile.
pub const MIN_LOAD_TIME: Millis = Millis(1_000);

/// Highest estimate of the time that a load takes.
const MAX_LOAD_TIME: Millis = Millis(3_000);

/// Share by which the estimated load time shrinks with each load, so that the effect of a single
/// slow one wears off.
const LOAD_DECAY: f64 = 0.02;

/// Longest time for which an order without an answer is assumed to be in progress, so that the
/// engine counts as loading. Also the delay of the next order to an engine after a failed one.
const ORDER_TIMEOUT: Millis = Millis(1_500);

/// Delay of the next order to an engine that was busy with another one.
const BUSY_DELAY: Millis = Millis(500);

/// Longest time for which a load of an engine that open jobs can use is put off: the next version
/// is named some seconds later, and by then all engines must have this one.
const MAX_DEFERRAL: Millis = Millis(2_000);

/// Amount subtracted from the coverage of a model with waiting items, so that it comes first.
const WAITING_BONUS: f64 = 0.5;

/// Coverage, in slots per item, from which no further engine loads for a model: loads beyond an
/// even share of the engines are billed.
const MAX_COVERAGE: f64 = 1.5;

/// Shortest time between an engine's answer and the next order to it.
const MIN_ORDER_GAP: Millis = Millis(300);

/// Estimate of the time that a load takes, raised when an engine refuses work longer than expected.
#[derive(Debug, Clone, Copy)]
pub struct LoadTime(f64);

impl Default for LoadTime {
    fn default() -> Self {
        Self(MIN_LOAD_TIME.0 as f64)
    }
}

impl LoadTime {
    /// Returns the estimate for a load that starts now, and lets it decay.
    fn next_estimate(&mut self) -> Millis {
        let estimate = Millis(self.0.round() as u64);
        self.0 = (self.0 * (1.0 - LOAD_DECAY)).max(MIN_LOAD_TIME.0 as f64);
        estimate
    }

    /// Raises the estimate if a load that is still running has taken longer.
    pub fn raise(&mut self, elapsed: Millis) {
        let elapsed = elapsed.min(MAX_LOAD_TIME).0 as f64;
        if elapsed > self.0 {
            self.0 = f64::midpoint(self.0, elapsed);
        }
    }
}

/// Initial limit on the loads at a time in a cell with many engines.
const INITIAL_LIMIT: f64 = 16.0;

/// Lowest limit.
const MIN_LIMIT: f64 = 4.0;

/// Time between two changes of the limit, in which loads started under it end.
const LIMIT_PERIOD: Millis = Millis(1_000);

/// Factor by which the limit grows while loads end when they are expected to.
const LIMIT_GROWTH: f64 = 1.1;

/// Factor by which it shrinks otherwise.
const LIMIT_FACTOR: f64 = 0.7;

/// The limit shrinks if more than one of this many loads took longer than expected.
const LATE_RATIO: u32 = 4;

/// Limit on the loads at a time in a cell with hundreds of engines. What loads share, such as the
/// store that they read from, doesn't grow with the number of engines, so the limit is learnt: it
/// grows while loads end when they are expected to.
#[derive(Debug, Clone, Copy)]
pub struct LoadLimit {
    limit: f64,
    /// Loads since the latest change whose expected end has passed.
    ended: u32,
    /// Loads since then that were still running after it.
    late: u32,
    changed: Millis,
}

impl Default for LoadLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            ended: 0,
            late: 0,
            changed: Millis::ZERO,
        }
    }
}

impl LoadLimit {
    /// Counts a load whose expected end has passed. One that a report showed to have ended before isn't
    /// counted.
    pub fn record_end(&mut self) {
        self.ended += 1;
    }

    /// Counts a load that is still running after its expected end.
    pub fn record_late(&mut self) {
        self.late += 1;
    }

    /// Returns the number of loads that may run at a time on this number of engines.
    fn loads(&mut self, now: Millis, engines: usize) -> usize {
        let most = ((engines + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD).max(1);
        if now >= self.changed + LIMIT_PERIOD && self.ended > 0 {
            let is_slow = self.late * LATE_RATIO > self.ended;
            let factor = if is_slow { LIMIT_FACTOR } else { LIMIT_GROWTH };
            // A lower number of engines doesn't make the limit forget what it has learnt.
            let highest = (most as f64).max(INITIAL_LIMIT);
            self.limit = (self.limit * factor).clamp(MIN_LIMIT, highest);
            (self.ended, self.late, self.changed) = (0, 0, now);
        }
        most.min(self.limit as usize)
    }
}

/// A load to be ordered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Engine that is to load.
    pub engine: UpstreamIncarnation,
    /// Model of the version.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

/// The version that the engines of a model are to load: the newest one named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetVersion {
    /// Number of the version.
    pub version: u64,
    /// When this scheduler received it.
    pub since: Millis,
}

/// What the open jobs of a model require of the engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Items of the largest step seen so far; 0 if none was seen.
    pub items: usize,
    /// Oldest version that the newest open step may use, or none without an open step. The next
    /// step is assumed to allow the version before the newest.
    pub oldest: Option<u64>,
    /// Whether items wait for an engine.
    pub waiting: bool,
    /// Whether a single version must generate a complete result, so that a load must wait for the
    /// runs in progress.
    pub pure: bool,
}

/// Chooses the engines that are to load now.
///
/// Only about a fifth of the engines may load at a time, and no more than the limit, since more loads
/// slow each other down, and several models share these loads. The model with the lowest coverage
/// comes first. Of the engines, those whose version is too old for the current step come first: they
/// load while they are of no use to the model, and can serve two steps afterwards.
pub fn choose_loads(
    now: Millis,
    engines: &mut BTreeMap<UpstreamId, Engine>,
    targets: &BTreeMap<String, TargetVersion>,
    needs: &BTreeMap<String, Need>,
    limit: &mut LoadLimit,
) -> Vec<Load> {
    let loading = engines.values().filter(|e| e.is_loading(now)).count();
    let serving = engines.values().filter(|e| !e.versions.is_empty()).count();
    let limit = limit.loads(now, serving);
    let mut loads = Vec::new();
    for _ in loading..limit {
        let Some((id, model, version)) = next_load(now, engines, targets, needs) else {
            break;
        };
        if let Some(engine) = engines.get_mut(&id) {
            // Until the answer arrives, the engine counts as loading.
            engine.loading = Some(Loading {
                model: model.clone(),
                version,
                since: now,
                until: now + ORDER_TIMEOUT,
                is_late: false,
                extensions: 0,
            });
            loads.push(Load {
                engine: engine.life.clone(),
                model,
                version,
            });
        }
    }
    loads
}

/// Returns the engine, model and version of the most urgent load.
fn next_load(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    targets: &BTreeMap<String, TargetVersion>,
    needs: &BTreeMap<String, Need>,
) -> Option<(UpstreamId, String, u64)> {
    let mut models: Vec<(f64, &String, &TargetVersion)> = targets
        .iter()
        .map(|(model, target)| {
            (
                coverage(engines, model, target, needs.get(model)),
                model,
                target,
            )
        })
        .collect();
    models.sort_by(|a, b| a.0.total_cmp(&b.0));
    models.into_iter().find_map(|(coverage, model, target)| {
        if coverage >= MAX_COVERAGE {
            return None;
        }
        let need = needs.get(model).copied().unwrap_or_default();
        let id = choose_engine(now, engines, model, target, need)?;
        Some((id, model.clone(), target.version))
    })
}

/// Returns the coverage of a model: the slots of engines that have or load its target version, per
/// item of its largest step, less a bonus while items wait. The model with the lowest coverage
/// comes first.
fn coverage(
    engines: &BTreeMap<UpstreamId, Engine>,
    model: &str,
    target: &TargetVersion,
    need: Option<&Need>,
) -> f64 {
    let need = need.copied().unwrap_or_default();
    let loads = |e: &Engine| e.loading.as_ref().is_some_and(|l| l.model == *model);
    let covers = |e: &&Engine| loads(e) || e.versions.get(model) >= Some(&target.version);
    let slots_of = |engine: &Engine| u64::from(engine.life.slots);
    let slots: u64 = engines.values().filter(covers).map(slots_of).sum();
    let urgency = if need.waiting { WAITING_BONUS } else { 0.0 };
    let all: u64 = engines.values().map(slots_of).sum();
    // The next step of a model without any step so far may need every slot.
    let items = if need.items == 0 {
        all as usize
    } else {
        need.items
    };
    slots as f64 / items.max(1) as f64 - urgency
}

/// Returns the engine for which a load of a model's target version costs the least: one that is of
/// no use to the model, then one with few runs of it, then one whose versions of all models add up
/// to the least.
fn choose_engine(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    model: &str,
    target: &TargetVersion,
    need: Need,
) -> Option<UpstreamId> {
    let deferrable = now < target.since + MAX_DEFERRAL;
    let oldest = need.oldest.max(Some(target.version.saturating_sub(1)));
    let is_usable = |engine: &Engine| engine.versions.get(model).copied() >= oldest;
    let is_behind = |engine: &Engine| {
        engine
            .versions
            .get(model)
            .is_some_and(|v| *v < target.version)
    };
    let may_load = |engine: &&Engine| {
        engine.life.ready
            && is_behind(engine)
            && !engine.is_loading(now)
            && !engine.is_paused(now)
            && now >= engine.order_after
            && !(is_usable(engine) && need.waiting && deferrable)
            && !(need.pure && engine.runs_of(model) > 0)
    };
    engines
        .values()
        .filter(may_load)
        .min_by_key(|engine| {
            let versions = engine.versions.values();
            let versions = versions.fold(0, |sum: u64, version| sum.saturating_add(*version));
            let (usable, runs) = (is_usable(engine), engine.runs_of(model));
            (usable, runs, versions, engine.life.id.clone())
        })
        .map(|engine| engine.life.id.clone())
}

/// Records an engine's answer to an order.
pub fn record_outcome(
    now: Millis,
    engine: &mut Engine,
    load: (&str, u64),
    outcome: OrderOutcome,
    load_time: &mut LoadTime,
    limit: &mut LoadLimit,
) {
    let (model, version) = load;
    engine.order_after = now + MIN_ORDER_GAP;
    match outcome {
        OrderOutcome::Accepted => {
            engine.loading = Some(Loading {
                model: model.to_owned(),
                version,
                since: now,
                until: now + load_time.next_estimate(),
                is_late: false,
                extensions: 0,
            });
        }
        OrderOutcome::Holds => {
            engine.loading = None;
            engine.versions.insert(model.to_owned(), version);
        }
        OrderOutcome::Busy => {
            if engine.mark_late(now) {
                limit.record_late();
            }
            engine.loading = None;
            engine.order_after = now + BUSY_DELAY;
        }
        OrderOutcome::Failed => {
            engine.loading = None;
            engine.order_after = now + ORDER_TIMEOUT;
        }
    }
}
