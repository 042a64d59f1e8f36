//! Orders to platforms with and without a fencing check while leaders are killed and suspended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use async_std::task;
use async_std::task::JoinHandle;
use dandelion_fakes::platform::OrderRecord;
use dandelion_fakes::platform::Platform;
use dandelion_fakes::platform::PlatformConfig;
use dandelion_rpc::generated as rpc;
use futures::future::try_join;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::scenarios::billing::find_leader;
use crate::scenarios::order_executor::OrderExecutor;

const DAEMONS: usize = 3;
const ZONES: usize = 3;
const FLOOR: u32 = 1;
const CEILING: u32 = 3;
const TOKENS: u32 = 16;
const CAPACITY: u32 = 4;
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// Additional callers of the busy phase; more than the upstreams of the floor can serve.
const BUSY_CALLERS: usize = 12;

/// Callers that continue while upstreams are stopped.
const BASE_CALLERS: usize = 2;

const LOST_ANSWERS: u32 = 4;
const PAUSE_TIME: Duration = Duration::from_millis(4500);
const PHASE_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    let both = try_join(run_one(seed, true), run_one(seed, false));
    let (fenced, unfenced) = task::block_on(both)?;
    Ok(json!({
        "scenario": "issuer",
        "kind": "processes",
        "daemons": DAEMONS,
        "platform_checks": fenced,
        "platform_ignores": unfenced,
    }))
}

async fn run_one(seed: u64, checks_fencing: bool) -> anyhow::Result<Value> {
    let platform = Platform::bind(PlatformConfig { checks_fencing }).await?;
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        zones: ZONES,
        platform: Some(platform.local_addr()),
        ..ClusterConfig::default()
    })
    .await?;
    platform.lose_answers(LOST_ANSWERS);
    let executor = OrderExecutor::spawn(&platform, zones(&cluster), CAPACITY, TOKEN_TIME);
    let secret = configure(&cluster).await?;
    // Suspend the leader while it orders the upstreams of the floor.
    wait(|| !platform.orders().is_empty(), "an order").await?;
    pause_leader(&cluster).await?;
    let floor = FLOOR as usize * ZONES;
    wait(|| executor.serving() >= floor, "the floor").await?;
    let floor_starts = executor.starts();
    // Suspend the leader again while it orders upstreams for demand.
    let base = CallerPool::spawn(&cluster, &secret, seed, BASE_CALLERS);
    let busy = CallerPool::spawn(&cluster, &secret, seed + 1, BUSY_CALLERS);
    wait(|| executor.starts() > floor_starts, "an order for demand").await?;
    pause_leader(&cluster).await?;
    wait(|| executor.serving() > floor + 1, "upstreams for demand").await?;
    let mut tally = busy.stop().await;
    // A new leader has no demand history, so it scales down immediately.
    let leader = find_leader(&cluster).await?;
    cluster.kill(leader)?;
    task::sleep(PAUSE_TIME).await;
    cluster.start(leader)?;
    cluster.wait_ready().await?;
    wait(|| executor.stops() > 0, "a stop").await?;
    task::sleep(PAUSE_TIME).await;
    let last = base.stop().await;
    tally.complete += last.complete;
    tally.broken += last.broken;
    let counts = platform.counts();
    let extra_starts = floor_starts.saturating_sub(floor);
    Ok(json!({
        "orders": counts.orders,
        "orders_resent": platform.orders().iter().filter(|o| o.repeated).count(),
        "orders_outside_lease": counts.stale_orders,
        "orders_changed": counts.changed_orders,
        "orders_by_two": second_issuers(&platform.orders()),
        "upstreams_started_twice": executor.repeated_starts() + extra_starts,
        "starts": executor.starts(),
        "stops": executor.stops(),
        "stops_with_inflight": executor.stopped_busy(),
        "floor_met": executor.zones_serving() == ZONES,
        "answers_whole": tally.complete,
        "answers_broken": tally.broken,
    }))
}

/// Counts orders whose issuer is not the first one of their term.
fn second_issuers(orders: &[OrderRecord]) -> usize {
    let mut issuers: BTreeMap<u64, &str> = BTreeMap::new();
    let mut second = 0;
    for record in orders {
        let issuer = issuers.entry(record.order.term.0).or_insert(&record.issuer);
        second += usize::from(*issuer != record.issuer);
    }
    second
}

fn zones(cluster: &Cluster) -> BTreeMap<String, Vec<SocketAddr>> {
    let names = (0..ZONES).map(|z| format!("z{z}"));
    names.map(|z| (z.clone(), cluster.in_zone(&z))).collect()
}

async fn configure(cluster: &Cluster) -> anyhow::Result<String> {
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site", "builders").await?;
    let service = rpc::Service {
        id: "draft".to_owned(),
        kind: "engine".to_owned(),
        open: false,
        idempotent: true,
        timeout_ms: 30_000,
        floor: FLOOR,
        ceiling: CEILING,
    };
    let request = rpc::PutServiceRequest {
        change: operator.change(),
        service: Some(service),
    };
    operator.client().put_service(&request).await?;
    Ok(secret)
}

async fn pause_leader(cluster: &Cluster) -> anyhow::Result<()> {
    let leader = find_leader(cluster).await?;
    cluster.pause(leader)?;
    task::sleep(PAUSE_TIME).await;
    cluster.resume(leader)?;
    cluster.wait_ready().await
}

async fn wait<F>(done: F, what: &str) -> anyhow::Result<()>
where
    F: Fn() -> bool,
{
    let until = Instant::now() + PHASE_TIMEOUT;
    while !done() {
        if Instant::now() > until {
            bail!("timed out waiting for {what} after {PHASE_TIMEOUT:?}");
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

#[derive(Debug, Default)]
struct Tally {
    complete: u64,
    broken: u64,
}

/// Callers that send requests repeatedly until they are stopped.
struct CallerPool {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Tally>>,
}

impl CallerPool {
    fn spawn(cluster: &Cluster, secret: &str, seed: u64, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |index: usize| {
            let to = cluster.http(index % cluster.len());
            let caller = Caller::new().with_key(secret);
            task::spawn(call(
                caller,
                to,
                format!("{seed} {index}"),
                Arc::clone(&stop),
            ))
        };
        let callers = (0..callers).map(spawn).collect();
        Self { stop, callers }
    }

    async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::SeqCst);
        let mut total = Tally::default();
        for caller in self.callers {
            let tally = caller.await;
            total.complete += tally.complete;
            total.broken += tally.broken;
        }
        total
    }
}

async fn call(caller: Caller, to: SocketAddr, prompt: String, stop: Arc<AtomicBool>) -> Tally {
    let mut tally = Tally::default();
    while !stop.load(Ordering::SeqCst) {
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
        match caller.post(to, "/v1/draft/generate", &body).await {
            Ok(answer) if answer.status != 200 => task::sleep(TOKEN_TIME).await,
            Ok(answer) if answer.tokens().1 => tally.complete += 1,
            Ok(_) => tally.broken += 1,
            // The daemon that was called has been killed.
            Err(_) => task::sleep(TOKEN_TIME).await,
        }
    }
    tally
}
