//! Upstreams are drained and daemons are stopped under streaming load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_net::http::client::SendError;
use dandelion_rpc::generated as rpc;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::setup;

const DAEMONS: usize = 4;
const CONTROL: usize = 3;
const ENGINES: usize = 4;
const STREAMERS: usize = 16;
const TOKENS: u32 = 100;
const TOKEN_TIME: Duration = Duration::from_millis(5);
/// Longest time for which a leaving upstream may still get new work.
const LEAVE_TIME: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the scenario.
pub fn run(_seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_drain())
}

/// State shared by the callers and the health prober.
struct Shared {
    caller: Caller,
    daemons: Vec<std::net::SocketAddr>,
    healthy: Vec<AtomicBool>,
    stop: AtomicBool,
}

#[derive(Debug, Default, Clone)]
struct Tally {
    complete: u64,
    aborted: u64,
    refused: u64,
    unreachable: u64,
    codes: BTreeMap<String, u64>,
}

async fn run_drain() -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        zones: 1,
        control: CONTROL,
        ..ClusterConfig::default()
    })
    .await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    let engines = start_engines(&cluster).await?;
    let shared = Arc::new(Shared {
        caller: Caller::new().with_key(&secret),
        daemons: cluster.addresses(),
        healthy: (0..DAEMONS).map(|_| AtomicBool::new(true)).collect(),
        stop: AtomicBool::new(false),
    });
    let prober = task::spawn(probe_health(Arc::clone(&shared)));
    let work: Vec<_> = (0..STREAMERS)
        .map(|index| task::spawn(stream_all(Arc::clone(&shared), index)))
        .collect();
    task::sleep(SETTLE_TIME).await;
    engines[0].announce_leaving();
    let after_announcement = last_new_work(&engines[0]).await;
    let after_order = drain_by_order(&cluster, &engines[1]).await?;
    let mut exit_codes = Vec::new();
    for index in [DAEMONS - 1, 0] {
        exit_codes.push(cluster.stop(index, STOP_TIMEOUT).await?);
        cluster.start(index)?;
        cluster.wait_ready().await?;
        task::sleep(SETTLE_TIME).await;
    }
    shared.stop.store(true, Ordering::SeqCst);
    let tallies = join_all(work).await;
    prober.await;
    let clean_stops = exit_codes.iter().filter(|code| **code == Some(0)).count();
    Ok(json!({
        "scenario": "drain",
        "kind": "processes",
        "cut": tallies.iter().map(|t| t.aborted).sum::<u64>(),
        "refused": tallies.iter().map(|t| t.refused).sum::<u64>(),
        "daemon_unreachable": tallies.iter().map(|t| t.unreachable).sum::<u64>(),
        "refusals": tallies.iter().map(|t| &t.codes).filter(|c| !c.is_empty()).collect::<Vec<_>>(),
        "whole": tallies.iter().map(|t| t.complete).sum::<u64>(),
        "new_work_after_s": after_announcement.max(after_order).as_secs_f64(),
        "announced_new_work_after_s": after_announcement.as_secs_f64(),
        "ordered_new_work_after_s": after_order.as_secs_f64(),
        "stopped_cleanly": clean_stops,
        "stops": exit_codes.len(),
    }))
}

async fn start_engines(cluster: &Cluster) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        let identity = setup::identity(&name, "z0", "draft", &cluster.addresses());
        let mut config = EngineConfig::new(identity);
        config.token_time = TOKEN_TIME;
        engines.push(Engine::bind(config).await?);
        setup::wait_owner(cluster, &name).await?;
    }
    Ok(engines)
}

async fn drain_by_order(cluster: &Cluster, engine: &Engine) -> anyhow::Result<Duration> {
    let operator = cluster.operator();
    let request = rpc::DrainUpstreamRequest {
        change: operator.change(),
        upstream: "engine-1".to_owned(),
        boot: Some(1),
    };
    operator.client().drain_upstream(&request).await?;
    Ok(last_new_work(engine).await)
}

/// Watches a leaving engine and returns the time until it last got new work; zero if it got none.
async fn last_new_work(engine: &Engine) -> Duration {
    let started_at = Instant::now();
    let mut last = Duration::ZERO;
    let mut started = engine.counts().started;
    while started_at.elapsed() < LEAVE_TIME + SETTLE_TIME {
        task::sleep(POLL_INTERVAL).await;
        let now = engine.counts().started;
        if now > started {
            started = now;
            last = started_at.elapsed();
        }
    }
    last
}

/// Probes every daemon's health, as the platform's load balancer does. Callers skip daemons that
/// fail the probe.
async fn probe_health(shared: Arc<Shared>) {
    while !shared.stop.load(Ordering::SeqCst) {
        let probes = shared.daemons.iter().zip(&shared.healthy);
        join_all(probes.map(|(to, healthy)| async {
            let probe = shared.caller.get(*to, "/healthz").await;
            let ok = probe.is_ok_and(|a| a.status == 200);
            healthy.store(ok, Ordering::SeqCst);
        }))
        .await;
        task::sleep(PROBE_INTERVAL).await;
    }
}

async fn stream_all(shared: Arc<Shared>, worker: usize) -> Tally {
    let mut tally = Tally::default();
    let mut number = worker;
    while !shared.stop.load(Ordering::SeqCst) {
        number += 1;
        let to = number % shared.daemons.len();
        if !shared.healthy[to].load(Ordering::SeqCst) {
            task::sleep(POLL_INTERVAL).await;
            continue;
        }
        let prompt = format!("{worker} asks {number}");
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
        let to = shared.daemons[to];
        let answer = shared.caller.post(to, "/v1/draft/generate", &body).await;
        match answer {
            Ok(a) if a.tokens() == (setup::expected(&prompt, TOKENS), true) => tally.complete += 1,
            Ok(a) if a.status != 200 => {
                tally.refused += 1;
                *tally.codes.entry(a.code()).or_default() += 1;
                task::sleep(PROBE_INTERVAL).await;
            }
            Ok(_) | Err(SendError::Unknown(_)) => tally.aborted += 1,
            Err(SendError::NotSent(_)) => tally.unreachable += 1,
        }
    }
    tally
}
