//! Latency that a daemon and a mesh hop add to a request, relative to direct calls in the same run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::ensure;
use async_std::task;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::plain::Plain;
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::setup;

const WORKERS: usize = 16;
const FULL_LOAD_TIME: Duration = Duration::from_secs(4);
const PAIRED_TIME: Duration = Duration::from_secs(12);
const STREAM_TIME: Duration = Duration::from_secs(4);
const ENGINES: usize = 4;
const STREAMS: usize = 144;
const TOKEN_TIME: Duration = Duration::from_millis(6);
const TOKENS: u32 = 1_000;
/// Time between the start of the streams and the start of the measurement.
const RAMP_TIME: Duration = Duration::from_secs(1);
const WARM_CALLS: usize = 200;
const MICROS_PER_MS: f64 = 1_000.0;
const CAPACITY: u32 = 64;
const PATH: &str = "/v1/portal/status";
const DIRECT_PATH: &str = "/status";

/// Runs the scenario.
pub fn run(_seed: u64) -> anyhow::Result<Value> {
    task::block_on(measure())
}

struct Bench {
    cluster: Cluster,
    portal: Plain,
    engines: Vec<Engine>,
    caller: Caller,
    owner: usize,
}

async fn measure() -> anyhow::Result<Value> {
    let bench = start().await?;
    let full = full_load(&bench).await?;
    let paired = paired(&bench, full.rate / 2.0).await?;
    let streams = stream_load(&bench).await?;
    Ok(json!({
        "scenario": "overhead",
        "kind": "processes",
        "added_p50_ms": paired.added(&paired.daemon, 0.5),
        "added_p99_ms": paired.added(&paired.daemon, 0.99),
        "mesh_added_p50_ms": paired.added(&paired.mesh, 0.5),
        "mesh_added_p99_ms": paired.added(&paired.mesh, 0.99),
        "direct_p50_ms": paired.direct.value_at_quantile(0.5) as f64 / MICROS_PER_MS,
        "direct_p99_ms": paired.direct.value_at_quantile(0.99) as f64 / MICROS_PER_MS,
        "paired_calls": paired.direct.len(),
        "half_load_rps": full.rate / 2.0,
        "requests_per_core_second": full.per_core,
        "stream_events_per_s": streams.rate,
        "stream_events_per_core_second": streams.per_core,
        "failed": full.failed + paired.failed + streams.failed,
    }))
}

async fn start() -> anyhow::Result<Bench> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: 2,
        zones: 1,
        control: 1,
        ..ClusterConfig::default()
    })
    .await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    operator.put_service("portal", "plain", false, true).await?;
    let daemons = cluster.addresses();
    let identity = setup::identity("portal-0", "z0", "portal", &daemons);
    let portal = setup::plain(identity, CAPACITY, Duration::ZERO).await?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        let identity = setup::identity(&name, "z0", "draft", &daemons);
        let mut config = EngineConfig::new(identity);
        config.token_time = TOKEN_TIME;
        config.slowdown = 0.0;
        config.capacity = CAPACITY;
        engines.push(Engine::bind(config).await?);
    }
    let owner = setup::wait_owner(&cluster, "portal-0").await?;
    for index in 0..ENGINES {
        setup::wait_owner(&cluster, &format!("engine-{index}")).await?;
    }
    let caller = Caller::new().with_key(&secret);
    warm(&cluster, &caller).await?;
    Ok(Bench {
        cluster,
        portal,
        engines,
        caller,
        owner,
    })
}

async fn warm(cluster: &Cluster, caller: &Caller) -> anyhow::Result<()> {
    let until = Instant::now() + Duration::from_secs(10);
    for to in cluster.addresses() {
        let mut served = 0;
        while served < WARM_CALLS {
            let answer = caller.get(to, PATH).await;
            served += usize::from(answer.is_ok_and(|a| a.status == 200));
            ensure!(Instant::now() < until, "the daemons do not serve");
        }
    }
    Ok(())
}

#[derive(Debug)]
struct LoadResult {
    rate: f64,
    per_core: f64,
    failed: u64,
}

impl LoadResult {
    fn new(completed: u64, failed: u64, wall: Duration, cpu: Duration) -> Self {
        Self {
            rate: completed as f64 / wall.as_secs_f64(),
            per_core: completed as f64 / cpu.as_secs_f64(),
            failed,
        }
    }
}

/// Measures the throughput of the portal's owner: each worker sends its next request as soon as the
/// previous one is answered.
async fn full_load(bench: &Bench) -> anyhow::Result<LoadResult> {
    let pid = bench.cluster.pid(bench.owner).context("no daemon")?;
    let to = bench.cluster.http(bench.owner);
    let before = setup::cpu_time(pid)?;
    let started = Instant::now();
    let workers =
        (0..WORKERS).map(|_| send_repeatedly(bench.caller.clone(), to, started + FULL_LOAD_TIME));
    let counts = join_all(workers.map(task::spawn)).await;
    let cpu = setup::cpu_time(pid)?.saturating_sub(before);
    let ok = counts.iter().map(|c| c.0).sum();
    let failed = counts.iter().map(|c| c.1).sum();
    Ok(LoadResult::new(ok, failed, started.elapsed(), cpu))
}

async fn send_repeatedly(caller: Caller, to: SocketAddr, until: Instant) -> (u64, u64) {
    let mut counts = (0, 0);
    while Instant::now() < until {
        match caller.get(to, PATH).await {
            Ok(answer) if answer.status == 200 => counts.0 += 1,
            _ => counts.1 += 1,
        }
    }
    counts
}

#[derive(Debug)]
struct Paired {
    direct: Histogram<u64>,
    daemon: Histogram<u64>,
    mesh: Histogram<u64>,
    failed: u64,
}

impl Paired {
    fn added(&self, through: &Histogram<u64>, quantile: f64) -> f64 {
        let direct = self.direct.value_at_quantile(quantile) as f64;
        (through.value_at_quantile(quantile) as f64 - direct) / MICROS_PER_MS
    }
}

/// Alternates single calls to the portal directly, through its owner and through the other daemon,
/// while other callers keep the owner at half load.
async fn paired(bench: &Bench, rate: f64) -> anyhow::Result<Paired> {
    let stop = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(AtomicU64::new(0));
    let owner = bench.cluster.http(bench.owner);
    let interval = Duration::from_secs_f64(WORKERS as f64 / rate.max(1.0));
    let load: Vec<_> = (0..WORKERS)
        .map(|_| {
            send_at_interval(
                bench.caller.clone(),
                owner,
                interval,
                Arc::clone(&stop),
                Arc::clone(&failed),
            )
        })
        .map(task::spawn)
        .collect();
    let mut paired = Paired {
        direct: Histogram::new(3)?,
        daemon: Histogram::new(3)?,
        mesh: Histogram::new(3)?,
        failed: 0,
    };
    let other = bench.cluster.http(1 - bench.owner);
    let plain = Caller::new();
    let direct = bench.portal.local_addr();
    let until = Instant::now() + PAIRED_TIME;
    while Instant::now() < until {
        let ok = timed(&plain, direct, DIRECT_PATH, &mut paired.direct).await?
            & timed(&bench.caller, owner, PATH, &mut paired.daemon).await?
            & timed(&bench.caller, other, PATH, &mut paired.mesh).await?;
        paired.failed += u64::from(!ok);
    }
    stop.store(true, Ordering::SeqCst);
    join_all(load).await;
    paired.failed += failed.load(Ordering::SeqCst);
    Ok(paired)
}

async fn timed(
    caller: &Caller,
    to: SocketAddr,
    path: &str,
    times: &mut Histogram<u64>,
) -> anyhow::Result<bool> {
    let started = Instant::now();
    let answer = caller.get(to, path).await;
    times.record(started.elapsed().as_micros() as u64)?;
    Ok(answer.is_ok_and(|a| a.status == 200))
}

async fn send_at_interval(
    caller: Caller,
    to: SocketAddr,
    interval: Duration,
    stop: Arc<AtomicBool>,
    failed: Arc<AtomicU64>,
) {
    let mut due = Instant::now();
    while !stop.load(Ordering::SeqCst) {
        due += interval;
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        let answer = caller.get(to, PATH).await;
        let failure = !answer.is_ok_and(|a| a.status == 200);
        failed.fetch_add(u64::from(failure), Ordering::SeqCst);
    }
}

/// Streams through the portal's owner and counts the tokens that all engines generate.
async fn stream_load(bench: &Bench) -> anyhow::Result<LoadResult> {
    let pid = bench.cluster.pid(bench.owner).context("no daemon")?;
    let to = bench.cluster.http(bench.owner);
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| task::spawn(stream(bench.caller.clone(), to, index)))
        .collect();
    task::sleep(RAMP_TIME).await;
    let tokens = || -> u64 { bench.engines.iter().map(|e| e.counts().tokens).sum() };
    let (first, before, started) = (tokens(), setup::cpu_time(pid)?, Instant::now());
    task::sleep(STREAM_TIME).await;
    let (count, cpu, wall) = (
        tokens() - first,
        setup::cpu_time(pid)?.saturating_sub(before),
        started.elapsed(),
    );
    let complete = join_all(streams).await;
    let failed = complete.iter().filter(|complete| !**complete).count();
    Ok(LoadResult::new(count, failed as u64, wall, cpu))
}

async fn stream(caller: Caller, to: SocketAddr, index: usize) -> bool {
    let prompt = format!("stream {index}");
    let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
    let answer = caller.post(to, "/v1/draft/generate", &body).await;
    answer.is_ok_and(|a| a.tokens() == (setup::expected(&prompt, TOKENS), true))
}
