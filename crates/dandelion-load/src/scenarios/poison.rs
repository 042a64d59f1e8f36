//! A prompt that crashes every engine that runs it is sent repeatedly through all daemons.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_protocol::ids::Incarnation;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::setup;

const DAEMONS: usize = 4;
const CONTROL: usize = 3;
const ENGINES: usize = 8;
const ZONES: [&str; 2] = ["z0", "z1"];
const INNOCENT_CALLERS: usize = 8;
const POISONS: usize = 3;
const POISON: &str = "crash-the-engine";
const TOKENS: u32 = 20;
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(150);
const RESTART_DELAY: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which an innocent request must be answered, including its resends.
const INNOCENT_TIMEOUT: Duration = Duration::from_secs(10);
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_poison(seed))
}

struct Shared {
    caller: Caller,
    daemons: Vec<std::net::SocketAddr>,
    stop: AtomicBool,
    stop_engines: AtomicBool,
    crashes: AtomicU64,
}

async fn run_poison(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        zones: ZONES.len(),
        control: CONTROL,
        ..ClusterConfig::default()
    })
    .await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    let shared = Arc::new(Shared {
        caller: Caller::new().with_key(&secret),
        daemons: cluster.addresses(),
        stop: AtomicBool::new(false),
        stop_engines: AtomicBool::new(false),
        crashes: AtomicU64::new(0),
    });
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let zone = ZONES[index % ZONES.len()];
        let daemons = cluster.in_zone(zone);
        engines.push(task::spawn(run_engine(Arc::clone(&shared), index, daemons)));
        setup::wait_owner(&cluster, &format!("engine-{index}")).await?;
    }
    let innocents: Vec<_> = (0..INNOCENT_CALLERS)
        .map(|index| task::spawn(call_repeatedly(Arc::clone(&shared), seed, index)))
        .collect();
    let mut crashes = Vec::new();
    for poison in 0..POISONS {
        let before = shared.crashes.load(Ordering::SeqCst);
        send_poison(&shared, seed, poison).await;
        crashes.push(shared.crashes.load(Ordering::SeqCst) - before);
    }
    shared.stop.store(true, Ordering::SeqCst);
    let counts = join_all(innocents).await;
    shared.stop_engines.store(true, Ordering::SeqCst);
    for engine in engines {
        engine.await?;
    }
    Ok(json!({
        "scenario": "poison",
        "kind": "processes",
        "upstreams_lost_per_poison": crashes.iter().max(),
        "upstreams_lost": crashes,
        "innocents_refused": counts.iter().map(|c| c.1).sum::<u64>(),
        "innocents_ok": counts.iter().map(|c| c.0).sum::<u64>(),
        "sends_per_poison": SENDS,
    }))
}

/// Runs one engine and restarts it, with the next incarnation, after each crash.
async fn run_engine(
    shared: Arc<Shared>,
    index: usize,
    daemons: Vec<std::net::SocketAddr>,
) -> anyhow::Result<()> {
    let mut listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut boot = 1;
    while !shared.stop_engines.load(Ordering::SeqCst) {
        let zone = ZONES[index % ZONES.len()];
        let mut identity = setup::identity(&format!("engine-{index}"), zone, "draft", &daemons);
        identity.boot = Incarnation(boot);
        let mut config = EngineConfig::new(identity);
        config.listen = listen;
        config.poison = Some(POISON.to_owned());
        let engine = Engine::bind(config).await?;
        // Restarts reuse the first address.
        listen = engine.local_addr();
        boot += 1;
        while !engine.is_crashed() && !shared.stop_engines.load(Ordering::SeqCst) {
            task::sleep(POLL_INTERVAL).await;
        }
        if engine.is_crashed() {
            shared.crashes.fetch_add(1, Ordering::SeqCst);
            drop(engine);
            task::sleep(RESTART_DELAY).await;
        }
    }
    Ok(())
}

async fn send_poison(shared: &Shared, seed: u64, poison: usize) {
    let body = json!({ "prompt": format!("{POISON} {seed} {poison}"), "max_tokens": TOKENS });
    for send in 0..SENDS {
        let to = shared.daemons[send % shared.daemons.len()];
        // Every answer is a refusal.
        let _refused = shared.caller.post(to, "/v1/draft/generate", &body).await;
        task::sleep(SEND_INTERVAL).await;
    }
}

/// Sends innocent prompts until `stop`; counts those answered and those not answered in time.
async fn call_repeatedly(shared: Arc<Shared>, seed: u64, worker: usize) -> (u64, u64) {
    let mut counts = (0, 0);
    let mut number = worker;
    while !shared.stop.load(Ordering::SeqCst) {
        number += 1;
        let prompt = format!("{seed} {worker} asks {number}");
        if call_until_answered(&shared, number, &prompt).await {
            counts.0 += 1;
        } else {
            counts.1 += 1;
        }
    }
    counts
}

async fn call_until_answered(shared: &Shared, number: usize, prompt: &str) -> bool {
    let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
    let until = Instant::now() + INNOCENT_TIMEOUT;
    let mut to = number;
    while Instant::now() < until {
        let daemon = shared.daemons[to % shared.daemons.len()];
        let answer = shared
            .caller
            .post(daemon, "/v1/draft/generate", &body)
            .await;
        let complete = (setup::expected(prompt, TOKENS), true);
        if answer.is_ok_and(|a| a.tokens() == complete) {
            return true;
        }
        to += 1;
        task::sleep(RESEND_INTERVAL).await;
    }
    false
}
