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

/// Engines of which one may load at a time: more at once only slow each other down.
const ENGINES_PER_LOAD: usize = 5;

/// Time that a load takes.
pub const LOAD_TIME: Millis = Millis(1_000);

/// Time for which an order without an answer counts as being carried out.
const UNSURE_TIME: Millis = Millis(1_500);

/// Time after which an engine that was busy is asked again.
const BUSY_PAUSE: Millis = Millis(500);

/// Longest time for which an engine that open jobs can use puts a load off: the next version is
/// named some seconds later, and by then all must have this one.
const PATIENCE: Millis = Millis(2_000);

/// Time between two orders to one engine.
const ORDER_GAP: Millis = Millis(300);

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

/// Chooses the engines that are to load now: those that lag most, and of these the idlest. While
/// items wait (`pressed`), engines that lag by one version only go on serving.
pub fn choose(
    now: Millis,
    engines: &mut BTreeMap<UpstreamId, Engine>,
    named: &BTreeMap<String, Named>,
    pressed: bool,
) -> Vec<Load> {
    let loading = engines.values().filter(|e| e.is_loading(now)).count();
    let serving = engines.values().filter(|e| !e.versions.is_empty()).count();
    let most = (serving / ENGINES_PER_LOAD).max(1);
    let mut behind: Vec<(u64, u32, UpstreamId, String, u64)> = Vec::new();
    for engine in engines.values() {
        let asks = engine.life.ready && !engine.is_loading(now) && now >= engine.order_after;
        if let Some((model, version, lag)) = widest_lag(engine, named).filter(|_| asks) {
            let late = named.get(&model).is_some_and(|n| n.since + PATIENCE <= now);
            if lag == 1 && pressed && !late {
                continue;
            }
            behind.push((lag, engine.runs, engine.life.id.clone(), model, version));
        }
    }
    behind.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    behind.truncate(most.saturating_sub(loading));
    behind
        .into_iter()
        .filter_map(|(_, _, id, model, version)| {
            let engine = engines.get_mut(&id)?;
            // Until the answer comes, the engine counts as loading.
            engine.loading = Some(Loading {
                model: model.clone(),
                version,
                until: now + UNSURE_TIME,
            });
            Some(Load {
                engine: engine.life.clone(),
                model,
                version,
            })
        })
        .collect()
}

/// Returns the model by whose version the engine lags most.
fn widest_lag(engine: &Engine, named: &BTreeMap<String, Named>) -> Option<(String, u64, u64)> {
    let lags = engine.versions.iter().filter_map(|(model, has)| {
        let version = named.get(model)?.version;
        let lag = version.saturating_sub(*has);
        (lag > 0).then(|| (model.clone(), version, lag))
    });
    lags.max_by_key(|(_, _, lag)| *lag)
}

/// Notes the answer to an order.
pub fn settle(now: Millis, engine: &mut Engine, model: &str, version: u64, outcome: OrderOutcome) {
    engine.order_after = now + ORDER_GAP;
    match outcome {
        OrderOutcome::Accepted => {
            engine.loading = Some(Loading {
                model: model.to_owned(),
                version,
                until: now + LOAD_TIME,
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
