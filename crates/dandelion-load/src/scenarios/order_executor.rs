//! Executes the orders that a fake platform accepted by starting and stopping fake engines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::task;
use async_std::task::JoinHandle;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::platform::Platform;
use dandelion_fleet::plan;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::UpstreamId;

/// Interval of the announcements of a started engine.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<UpstreamId, (String, Engine)>,
    started_before: BTreeSet<UpstreamId>,
    starts: usize,
    stops: usize,
    repeated_starts: usize,
    stopped_busy: usize,
}

/// Executes orders in a background task, which ends with the platform, not when this is dropped.
#[derive(Debug)]
pub struct OrderExecutor {
    state: Arc<Mutex<State>>,
    _worker: JoinHandle<()>,
}

impl OrderExecutor {
    /// Starts executing the orders that `platform` accepts. Engines announce themselves to the
    /// daemons that `zones` lists for their zone.
    pub fn spawn(
        platform: &Platform,
        zones: BTreeMap<String, Vec<SocketAddr>>,
        capacity: u32,
        token_time: Duration,
    ) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let orders = platform.accepted_orders();
        let worker = task::spawn(async move {
            while let Ok(order) = orders.recv().await {
                let Some((zone, identity)) = identity_of(&order, &zones) else {
                    lock(&shared).stop(&order);
                    continue;
                };
                let mut config = EngineConfig::new(identity);
                config.capacity = capacity;
                config.token_time = token_time;
                match Engine::bind(config.clone()).await {
                    Ok(engine) => lock(&shared).start(config.identity.upstream, zone, engine),
                    Err(error) => eprintln!("engine could not be started: {error}"),
                }
            }
        });
        Self {
            state,
            _worker: worker,
        }
    }

    /// Returns the number of running engines.
    pub fn serving(&self) -> usize {
        lock(&self.state).running.len()
    }

    /// Returns the number of zones in which an engine is running.
    pub fn zones_serving(&self) -> usize {
        let state = lock(&self.state);
        let zones: BTreeSet<&String> = state.running.values().map(|r| &r.0).collect();
        zones.len()
    }

    /// Returns the number of engines started so far.
    pub fn starts(&self) -> usize {
        lock(&self.state).starts
    }

    /// Returns the number of engines stopped so far.
    pub fn stops(&self) -> usize {
        lock(&self.state).stops
    }

    /// Returns the number of starts of upstreams that had been started before.
    pub fn repeated_starts(&self) -> usize {
        lock(&self.state).repeated_starts
    }

    /// Returns the number of stops of engines that were running requests.
    pub fn stopped_busy(&self) -> usize {
        lock(&self.state).stopped_busy
    }
}

impl State {
    fn start(&mut self, upstream: UpstreamId, zone: String, engine: Engine) {
        self.starts += 1;
        self.repeated_starts += usize::from(!self.started_before.insert(upstream.clone()));
        self.running.insert(upstream, (zone, engine));
    }

    fn stop(&mut self, order: &Order) {
        let OrderBody::Stop { upstream } = &order.body else {
            return;
        };
        if let Some((_, engine)) = self.running.remove(upstream) {
            self.stops += 1;
            self.stopped_busy += usize::from(engine.running() > 0);
        }
    }
}

fn identity_of(
    order: &Order,
    zones: &BTreeMap<String, Vec<SocketAddr>>,
) -> Option<(String, Identity)> {
    let OrderBody::Start {
        service,
        zone,
        price,
    } = &order.body
    else {
        return None;
    };
    let zone = zone.to_string();
    let upstream = plan::upstream_name(order.id).ok()?;
    let daemons = zones.get(&zone)?;
    let mut identity = Identity::new(upstream.as_str(), &zone, service.as_str(), daemons);
    identity.price = *price;
    identity.period = ANNOUNCE_PERIOD;
    Some((zone, identity))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}
