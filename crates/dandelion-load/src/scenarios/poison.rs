//! A prompt that crashes each engine that runs it, sent again and again through all daemons.

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
const INNOCENTS: usize = 8;
const POISONS: usize = 3;
const POISON: &str = "crash-the-engine";
const TOKENS: u32 = 20;
const SENDS: usize = 12;
const SEND_GAP: Duration = Duration::from_millis(150);
const REBOOT: Duration = Duration::from_millis(500);
const POLL: Duration = Duration::from_millis(20);
/// Time in which an innocent request must be answered, its resends counted in.
const INNOCENT_LIMIT: Duration = Duration::from_secs(10);
const RESEND_GAP: Duration = Duration::from_millis(200);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_poison(seed))
}

struct Scene {
    caller: Caller,
    daemons: Vec<std::net::SocketAddr>,
    stop: AtomicBool,
    ended: AtomicBool,
    lost: AtomicU64,
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
    let scene = Arc::new(Scene {
        caller: Caller::new().with_key(&secret),
        daemons: cluster.addresses(),
        stop: AtomicBool::new(false),
        ended: AtomicBool::new(false),
        lost: AtomicU64::new(0),
    });
    let mut keepers = Vec::new();
    for index in 0..ENGINES {
        let zone = ZONES[index % ZONES.len()];
        let daemons = cluster.in_zone(zone);
        keepers.push(task::spawn(keep(Arc::clone(&scene), index, daemons)));
        setup::wait_owner(&cluster, &format!("engine-{index}")).await?;
    }
    let innocents: Vec<_> = (0..INNOCENTS)
        .map(|index| task::spawn(ask_all(Arc::clone(&scene), seed, index)))
        .collect();
    let mut lost = Vec::new();
    for poison in 0..POISONS {
        let before = scene.lost.load(Ordering::SeqCst);
        send_poison(&scene, seed, poison).await;
        lost.push(scene.lost.load(Ordering::SeqCst) - before);
    }
    scene.stop.store(true, Ordering::SeqCst);
    let counts = join_all(innocents).await;
    scene.ended.store(true, Ordering::SeqCst);
    for keeper in keepers {
        keeper.await?;
    }
    Ok(json!({
        "scenario": "poison",
        "kind": "processes",
        "upstreams_lost_per_poison": lost.iter().max(),
        "upstreams_lost": lost,
        "innocents_refused": counts.iter().map(|c| c.1).sum::<u64>(),
        "innocents_ok": counts.iter().map(|c| c.0).sum::<u64>(),
        "sends_per_poison": SENDS,
    }))
}

/// Keeps one engine running, each life under a later boot.
async fn keep(
    scene: Arc<Scene>,
    index: usize,
    daemons: Vec<std::net::SocketAddr>,
) -> anyhow::Result<()> {
    let mut listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let mut boot = 1;
    while !scene.ended.load(Ordering::SeqCst) {
        let zone = ZONES[index % ZONES.len()];
        let mut identity = setup::identity(&format!("engine-{index}"), zone, "draft", &daemons);
        identity.boot = Incarnation(boot);
        let mut config = EngineConfig::new(identity);
        config.listen = listen;
        config.poison = Some(POISON.to_owned());
        let engine = Engine::bind(config).await?;
        // Each later life has the address of the first.
        listen = engine.local_addr();
        boot += 1;
        while !engine.is_crashed() && !scene.ended.load(Ordering::SeqCst) {
            task::sleep(POLL).await;
        }
        if engine.is_crashed() {
            scene.lost.fetch_add(1, Ordering::SeqCst);
            drop(engine);
            task::sleep(REBOOT).await;
        }
    }
    Ok(())
}

async fn send_poison(scene: &Scene, seed: u64, poison: usize) {
    let body = json!({ "prompt": format!("{POISON} {seed} {poison}"), "max_tokens": TOKENS });
    for send in 0..SENDS {
        let to = scene.daemons[send % scene.daemons.len()];
        // Every answer to it is a refusal.
        let _refused = scene.caller.post(to, "/v1/draft/generate", &body).await;
        task::sleep(SEND_GAP).await;
    }
}

/// Asks until the end; counts the prompts that were answered and those refused for good.
async fn ask_all(scene: Arc<Scene>, seed: u64, worker: usize) -> (u64, u64) {
    let mut counts = (0, 0);
    let mut turn = worker;
    while !scene.stop.load(Ordering::SeqCst) {
        turn += 1;
        let prompt = format!("{seed} {worker} asks {turn}");
        if ask(&scene, turn, &prompt).await {
            counts.0 += 1;
        } else {
            counts.1 += 1;
        }
    }
    counts
}

async fn ask(scene: &Scene, turn: usize, prompt: &str) -> bool {
    let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
    let until = Instant::now() + INNOCENT_LIMIT;
    let mut to = turn;
    while Instant::now() < until {
        let daemon = scene.daemons[to % scene.daemons.len()];
        let answer = scene.caller.post(daemon, "/v1/draft/generate", &body).await;
        let whole = (setup::expected(prompt, TOKENS), true);
        if answer.is_ok_and(|a| a.tokens() == whole) {
            return true;
        }
        to += 1;
        task::sleep(RESEND_GAP).await;
    }
    false
}
