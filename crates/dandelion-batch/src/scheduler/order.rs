//! Brings engines to the named versions, a few at a time.
//!
//! Answers the load of trainers that name a version and ask for their next step at once: a step
//! begins with more items than there are slots, so engines that can still serve it load only once
//! its first burst is placed.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;

use crate::scheduler::engine::Engine;
use crate::scheduler::engine::Loading;
use crate::scheduler::event::OrderOutcome;

/// Engines of which one may load at a time, rounded to the next whole number: more at once only slow
/// each other down.
const ENGINES_PER_LOAD: usize = 5;

/// Time that a load is expected to take before one was seen to take longer: the engines' sheet says
/// 0.9 s, and the answer to the order is on its way meanwhile.
pub const LOAD_TIME: Millis = Millis(1_000);

/// Longest time that a load is expected to take.
const LONGEST_LOAD: Millis = Millis(3_000);

/// Part by which the expected time of a load shrinks with each load, so that a single slow one does
/// not count for ever.
const LOAD_DECAY: f64 = 0.02;

/// Time for which an order without an answer counts as being carried out.
const UNSURE_TIME: Millis = Millis(1_500);

/// Time after which an engine that was busy is asked again.
const BUSY_PAUSE: Millis = Millis(500);

/// Longest time for which an engine that open jobs can use puts a load off: the next version is
/// named some seconds later, and by then all must have this one.
const PATIENCE: Millis = Millis(2_000);

/// Part of a step's slots by which a model whose items wait comes before one whose items do not.
const PRESSED_BONUS: f64 = 0.5;

/// Part of a step's slots on the newest version that is enough: loads beyond an even share of the engines are billed.
const ENOUGH: f64 = 1.5;

/// Time between two orders to one engine.
const ORDER_GAP: Millis = Millis(300);

/// Time that loads take, learnt from engines that refuse work longer than expected.
#[derive(Debug, Clone, Copy)]
pub struct LoadTime(f64);

impl Default for LoadTime {
    fn default() -> Self {
        Self(LOAD_TIME.0 as f64)
    }
}

impl LoadTime {
    /// Returns the time that a load which begins now is expected to take.
    fn begin(&mut self) -> Millis {
        let expected = Millis(self.0.round() as u64);
        self.0 = (self.0 * (1.0 - LOAD_DECAY)).max(LOAD_TIME.0 as f64);
        expected
    }

    /// Notes that a load has taken longer than so long.
    pub fn exceed(&mut self, taken: Millis) {
        let taken = taken.min(LONGEST_LOAD).0 as f64;
        if taken > self.0 {
            self.0 = f64::midpoint(self.0, taken);
        }
    }
}

/// An engine that is to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Engine.
    pub engine: UpstreamLife,
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
}

/// A named version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// Version.
    pub version: u64,
    /// When it became known here.
    pub since: Millis,
}

/// What the open jobs of a model ask of the engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Items of the largest step seen.
    pub items: usize,
    /// Oldest version that the newest open step may use, if there is one. The step to come is taken
    /// to allow the version before the newest.
    pub oldest: Option<u64>,
    /// Whether items wait for an engine.
    pub pressed: bool,
    /// Whether one version must make a whole result, so that a load waits for the runs under way.
    pub pure: bool,
}

/// Chooses the engines that are to load now.
///
/// Loads are scarce: more at once than a fifth of the engines slow each other down, and several
/// models share them. The model with the smallest part of its step's slots on its newest version
/// comes first. Of the engines, those come first that are too old for the present step: they load
/// while they are of no use to the model, and serve two steps afterwards.
pub fn choose(
    now: Millis,
    engines: &mut BTreeMap<UpstreamId, Engine>,
    named: &BTreeMap<String, Named>,
    needs: &BTreeMap<String, Need>,
) -> Vec<Load> {
    let loading = engines.values().filter(|e| e.is_loading(now)).count();
    let serving = engines.values().filter(|e| !e.versions.is_empty()).count();
    let most = ((serving + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD).max(1);
    let mut loads = Vec::new();
    for _ in loading..most {
        let Some((id, model, version)) = next(now, engines, named, needs) else {
            break;
        };
        if let Some(engine) = engines.get_mut(&id) {
            // Until the answer comes, the engine counts as loading.
            engine.loading = Some(Loading {
                model: model.clone(),
                version,
                since: now,
                until: now + UNSURE_TIME,
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

/// Returns the most useful load.
fn next(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    named: &BTreeMap<String, Named>,
    needs: &BTreeMap<String, Need>,
) -> Option<(UpstreamId, String, u64)> {
    let mut models: Vec<(f64, &String, &Named)> = named
        .iter()
        .map(|(model, named)| {
            (
                shortage(engines, model, named, needs.get(model)),
                model,
                named,
            )
        })
        .collect();
    models.sort_by(|a, b| a.0.total_cmp(&b.0));
    models.into_iter().find_map(|(part, model, named)| {
        if part >= ENOUGH {
            return None;
        }
        let need = needs.get(model).copied().unwrap_or_default();
        let id = behind(now, engines, model, named, need)?;
        Some((id, model.clone(), named.version))
    })
}

/// Returns which part of a step's slots is on the newest version of a model; the smallest is served
/// first.
fn shortage(
    engines: &BTreeMap<UpstreamId, Engine>,
    model: &str,
    named: &Named,
    need: Option<&Need>,
) -> f64 {
    let need = need.copied().unwrap_or_default();
    let loads = |e: &Engine| e.loading.as_ref().is_some_and(|l| l.model == *model);
    let fresh = |e: &&Engine| loads(e) || e.versions.get(model) >= Some(&named.version);
    let slots: u32 = engines
        .values()
        .filter(fresh)
        .map(|engine| engine.life.slots)
        .sum();
    let urgency = if need.pressed { PRESSED_BONUS } else { 0.0 };
    let all: u32 = engines.values().map(|engine| engine.life.slots).sum();
    // A model that no step was seen of may ask for every slot.
    let items = if need.items == 0 {
        all as usize
    } else {
        need.items
    };
    f64::from(slots) / items.max(1) as f64 - urgency
}

/// Returns the engine that loses least by loading a model's newest version.
fn behind(
    now: Millis,
    engines: &BTreeMap<UpstreamId, Engine>,
    model: &str,
    named: &Named,
    need: Need,
) -> Option<UpstreamId> {
    let patient = now < named.since + PATIENCE;
    let oldest = need.oldest.max(Some(named.version.saturating_sub(1)));
    let is_usable = |engine: &Engine| engine.versions.get(model).copied() >= oldest;
    let is_behind = |engine: &Engine| {
        engine
            .versions
            .get(model)
            .is_some_and(|v| *v < named.version)
    };
    let may_load = |engine: &&Engine| {
        engine.life.ready
            && is_behind(engine)
            && !engine.is_loading(now)
            && !engine.is_paused(now)
            && now >= engine.order_after
            && !(is_usable(engine) && need.pressed && patient)
            && !(need.pure && engine.runs_of(model) > 0)
    };
    engines
        .values()
        .filter(may_load)
        .min_by_key(|engine| {
            let loads = engine.versions.values().sum::<u64>();
            let (usable, runs) = (is_usable(engine), engine.runs_of(model));
            (usable, runs, loads, engine.life.id.clone())
        })
        .map(|engine| engine.life.id.clone())
}

/// Notes the answer to an order.
pub fn settle(
    now: Millis,
    engine: &mut Engine,
    load: (&str, u64),
    outcome: OrderOutcome,
    expected: &mut LoadTime,
) {
    let (model, version) = load;
    engine.order_after = now + ORDER_GAP;
    match outcome {
        OrderOutcome::Accepted => {
            engine.loading = Some(Loading {
                model: model.to_owned(),
                version,
                since: now,
                until: now + expected.begin(),
            });
        }
        OrderOutcome::Holds => {
            engine.loading = None;
            engine.versions.insert(model.to_owned(), version);
        }
        OrderOutcome::Busy => {
            engine.loading = None;
            engine.order_after = now + BUSY_PAUSE;
        }
        OrderOutcome::Failed => {
            engine.loading = None;
            engine.order_after = now + UNSURE_TIME;
        }
    }
}
