//! Starts and stops fake engines as a platform does for the orders that it took.

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

/// Time between announcements of a started engine.
const PERIOD: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<UpstreamId, (String, Engine)>,
    known: BTreeSet<UpstreamId>,
    starts: usize,
    stops: usize,
    doubled: usize,
    busy: usize,
}

/// Carries out orders until it is dropped.
#[derive(Debug)]
pub struct PlatformHand {
    state: Arc<Mutex<State>>,
    _worker: JoinHandle<()>,
}

impl PlatformHand {
    /// Starts to carry out the orders that `platform` takes; engines announce to their zone.
    pub fn spawn(
        platform: &Platform,
        zones: BTreeMap<String, Vec<SocketAddr>>,
        capacity: u32,
        token_time: Duration,
    ) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let held = Arc::clone(&state);
        let taken = platform.taken();
        let worker = task::spawn(async move {
            while let Ok(order) = taken.recv().await {
                let Some((zone, identity)) = identity_of(&order, &zones) else {
                    lock(&held).stop(&order);
                    continue;
                };
                let mut config = EngineConfig::new(identity);
                config.capacity = capacity;
                config.token_time = token_time;
                match Engine::bind(config.clone()).await {
                    Ok(engine) => lock(&held).start(config.identity.upstream, zone, engine),
                    Err(error) => eprintln!("no engine was started: {error}"),
                }
            }
        });
        Self {
            state,
            _worker: worker,
        }
    }

    /// Returns the engines that run.
    pub fn serving(&self) -> usize {
        lock(&self.state).running.len()
    }

    /// Returns the zones in which an engine runs.
    pub fn zones_serving(&self) -> usize {
        let state = lock(&self.state);
        let zones: BTreeSet<&String> = state.running.values().map(|r| &r.0).collect();
        zones.len()
    }

    /// Returns the engines started.
    pub fn starts(&self) -> usize {
        lock(&self.state).starts
    }

    /// Returns the engines stopped.
    pub fn stops(&self) -> usize {
        lock(&self.state).stops
    }

    /// Returns the starts of upstreams that had been started before.
    pub fn doubled(&self) -> usize {
        lock(&self.state).doubled
    }

    /// Returns the stops of engines that had requests running.
    pub fn stopped_busy(&self) -> usize {
        lock(&self.state).busy
    }
}

impl State {
    fn start(&mut self, upstream: UpstreamId, zone: String, engine: Engine) {
        self.starts += 1;
        self.doubled += usize::from(!self.known.insert(upstream.clone()));
        self.running.insert(upstream, (zone, engine));
    }

    fn stop(&mut self, order: &Order) {
        let OrderBody::Stop { upstream } = &order.body else {
            return;
        };
        if let Some((_, engine)) = self.running.remove(upstream) {
            self.stops += 1;
            self.busy += usize::from(engine.running() > 0);
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
    identity.period = PERIOD;
    Some((zone, identity))
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of this lock panics")
}
