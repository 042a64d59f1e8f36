//! Orders to platforms with and without a fencing check, while leaders are killed and suspended.

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
use crate::scenarios::platform_hand::PlatformHand;

const DAEMONS: usize = 3;
const ZONES: usize = 3;
const FLOOR: u32 = 1;
const CEILING: u32 = 3;
const TOKENS: u32 = 16;
const CAPACITY: u32 = 4;
const TOKEN_TIME: Duration = Duration::from_millis(20);

/// Callers of the busy phase: more than the floor carries.
const BUSY: usize = 12;

/// Callers that go on while upstreams are stopped.
const QUIET: usize = 2;

const LOST_ANSWERS: u32 = 4;
const SUSPENDED: Duration = Duration::from_millis(4500);
const PHASE_LIMIT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(5);

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
    let hand = PlatformHand::spawn(&platform, zones(&cluster), CAPACITY, TOKEN_TIME);
    let secret = configure(&cluster).await?;
    // The floor is being ordered when the leader is suspended.
    wait(|| !platform.orders().is_empty(), "an order").await?;
    suspend(&cluster).await?;
    let floor = FLOOR as usize * ZONES;
    wait(|| hand.serving() >= floor, "the floor").await?;
    let floor_starts = hand.starts();
    // Demand makes more orders, and the leader is suspended under these as well.
    let quiet = Load::spawn(&cluster, &secret, seed, QUIET);
    let busy = Load::spawn(&cluster, &secret, seed + 1, BUSY);
    wait(|| hand.starts() > floor_starts, "an order for demand").await?;
    suspend(&cluster).await?;
    wait(|| hand.serving() > floor + 1, "upstreams for demand").await?;
    let mut tally = busy.stop().await;
    // A new leader has no memory of demand, so that it scales down at once.
    let leader = find_leader(&cluster).await?;
    cluster.kill(leader)?;
    task::sleep(SUSPENDED).await;
    cluster.start(leader)?;
    cluster.wait_ready().await?;
    wait(|| hand.stops() > 0, "a stop").await?;
    task::sleep(SUSPENDED).await;
    let last = quiet.stop().await;
    tally.whole += last.whole;
    tally.broken += last.broken;
    let counts = platform.counts();
    let over = floor_starts.saturating_sub(floor);
    Ok(json!({
        "orders": counts.orders,
        "orders_resent": platform.orders().iter().filter(|o| o.repeated).count(),
        "orders_outside_lease": counts.stale_orders,
        "orders_changed": counts.changed_orders,
        "orders_by_two": by_two(&platform.orders()),
        "upstreams_started_twice": hand.doubled() + over,
        "starts": hand.starts(),
        "stops": hand.stops(),
        "stops_with_inflight": hand.stopped_busy(),
        "floor_met": hand.zones_serving() == ZONES,
        "answers_whole": tally.whole,
        "answers_broken": tally.broken,
    }))
}

/// Counts orders that came under one term from a second issuer.
fn by_two(orders: &[OrderRecord]) -> usize {
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

async fn suspend(cluster: &Cluster) -> anyhow::Result<()> {
    let leader = find_leader(cluster).await?;
    cluster.pause(leader)?;
    task::sleep(SUSPENDED).await;
    cluster.resume(leader)?;
    cluster.wait_ready().await
}

async fn wait<F>(done: F, what: &str) -> anyhow::Result<()>
where
    F: Fn() -> bool,
{
    let until = Instant::now() + PHASE_LIMIT;
    while !done() {
        if Instant::now() > until {
            bail!("{what} did not come within {PHASE_LIMIT:?}");
        }
        task::sleep(POLL).await;
    }
    Ok(())
}

#[derive(Debug, Default)]
struct Tally {
    whole: u64,
    broken: u64,
}

/// Callers that ask again and again until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Tally>>,
}

impl Load {
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
        let mut sum = Tally::default();
        for caller in self.callers {
            let tally = caller.await;
            sum.whole += tally.whole;
            sum.broken += tally.broken;
        }
        sum
    }
}

async fn call(caller: Caller, to: SocketAddr, prompt: String, stop: Arc<AtomicBool>) -> Tally {
    let mut tally = Tally::default();
    while !stop.load(Ordering::SeqCst) {
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
        match caller.post(to, "/v1/draft/generate", &body).await {
            Ok(answer) if answer.status != 200 => task::sleep(TOKEN_TIME).await,
            Ok(answer) if answer.tokens().1 => tally.whole += 1,
            Ok(_) => tally.broken += 1,
            // The daemon that was asked is the one that was killed.
            Err(_) => task::sleep(TOKEN_TIME).await,
        }
    }
    tally
}
