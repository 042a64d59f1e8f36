//! A key is withdrawn while streams are open; then the plain daemons are isolated from control.

use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use async_std::task;
use async_std::task::JoinHandle;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::plain::Plain;
use dandelion_fakes::plain::PlainConfig;
use dandelion_rpc::generated as rpc;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;

const CONTROL: usize = 3;
const DAEMONS: usize = 6;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const ROUNDS: usize = 6;
const STREAMS: usize = 3;
const TOKENS: u32 = 2_000;
const CAPACITY: u32 = 256;
const TOKEN_TIME: Duration = Duration::from_millis(20);
const STREAM_LEAD: Duration = Duration::from_millis(500);
const PROBE_TIME: Duration = Duration::from_millis(500);
const ISOLATION_TIME: Duration = Duration::from_secs(5);
const PHASE_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Portals in each zone; enough that every daemon owns one, however ownership is hashed.
const PORTALS: usize = 6;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_withdraw(seed))
}

/// End of a stream.
#[derive(Debug, Clone, Copy)]
struct StreamEnd {
    at: Instant,
    /// Whether the stream was answered to its last token.
    complete: bool,
}

/// Results of isolating the plain daemons.
#[derive(Debug, Default)]
struct Isolation {
    /// Time until the last open stream ended.
    streams_s: f64,
    /// Time until all isolated daemons refused the key.
    refused_s: f64,
    /// Failed requests to an open route.
    open_failed: u64,
    /// Keyed requests that were served after all isolated daemons had refused the key.
    served_after: u64,
    /// Time from the end of the isolation until all daemons served keyed requests again.
    recovered_s: f64,
}

struct Upstreams {
    _engines: Vec<Engine>,
    _portals: Vec<Plain>,
}

async fn run_withdraw(_seed: u64) -> anyhow::Result<Value> {
    let config = ClusterConfig {
        daemons: DAEMONS,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::spawn(config).await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    operator.put_service("portal", "plain", true, true).await?;
    let _upstreams = start_upstreams(&cluster).await?;
    let mut times = Vec::new();
    let mut served_after = 0;
    let mut complete = 0;
    for round in 0..ROUNDS {
        let id = format!("key-{round}");
        let secret = operator.grant_key(&id, "builders").await?;
        let caller = Caller::new().with_key(&secret);
        wait_served(&cluster, &caller).await?;
        let streams = open_streams(&cluster, &caller, 0);
        task::sleep(STREAM_LEAD).await;
        let since = Instant::now();
        withdraw(&cluster, &id).await?;
        served_after += count_accepted(&cluster, &caller).await;
        let (longest, completed) = wait_streams(streams, since).await;
        times.push(longest);
        complete += completed;
    }
    let isolation = isolate_daemons(&cluster).await?;
    times.sort_by(f64::total_cmp);
    Ok(json!({
        "scenario": "withdraw",
        "kind": "processes",
        "daemons": DAEMONS,
        "rounds": ROUNDS,
        "streams": ROUNDS * STREAMS * DAEMONS,
        "withdraw_s_p50": times[times.len() / 2],
        "withdraw_s_max": times[times.len() - 1],
        "served_after": served_after,
        "streams_whole": complete,
        "cut_off_streams_s": isolation.streams_s,
        "cut_off_refused_s": isolation.refused_s,
        "cut_off_open_failed": isolation.open_failed,
        "cut_off_served_after": isolation.served_after,
        "recovered_s": isolation.recovered_s,
    }))
}

async fn start_upstreams(cluster: &Cluster) -> anyhow::Result<Upstreams> {
    let mut engines = Vec::new();
    let mut portals = Vec::new();
    for zone in ZONES {
        let daemons = cluster.in_zone(zone);
        let mut identity = Identity::new(&format!("engine-{zone}"), zone, "draft", &daemons);
        identity.period = Duration::from_millis(300);
        let mut config = EngineConfig::new(identity);
        config.token_time = TOKEN_TIME;
        config.capacity = CAPACITY;
        engines.push(Engine::bind(config).await?);
        for index in 0..PORTALS {
            let name = format!("portal-{zone}-{index}");
            let mut identity = Identity::new(&name, zone, "portal", &daemons);
            identity.period = Duration::from_millis(300);
            let config = PlainConfig {
                identity,
                capacity: 8,
                delay: Duration::from_millis(2),
            };
            portals.push(Plain::bind(config).await?);
        }
    }
    Ok(Upstreams {
        _engines: engines,
        _portals: portals,
    })
}

async fn wait_served(cluster: &Cluster, caller: &Caller) -> anyhow::Result<()> {
    let until = Instant::now() + PHASE_TIMEOUT;
    for address in cluster.addresses() {
        while generate(caller, address, 1).await != Some(200) {
            if Instant::now() > until {
                bail!("{address} serves no engine");
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn generate(caller: &Caller, to: std::net::SocketAddr, tokens: u32) -> Option<u16> {
    let body = json!({ "prompt": "confirm", "max_tokens": tokens });
    let answer = caller.post(to, "/v1/draft/generate", &body).await;
    answer.ok().map(|a| a.status)
}

/// Opens long streams through every daemon from index `first` on.
fn open_streams(cluster: &Cluster, caller: &Caller, first: usize) -> Vec<JoinHandle<StreamEnd>> {
    let mut streams = Vec::new();
    for index in (first..cluster.len()).flat_map(|d| [d; STREAMS]) {
        let (caller, to) = (caller.clone(), cluster.http(index));
        streams.push(task::spawn(async move {
            let body = json!({ "prompt": "long", "max_tokens": TOKENS });
            let answer = caller.post(to, "/v1/draft/generate", &body).await;
            StreamEnd {
                at: Instant::now(),
                complete: answer.is_ok_and(|a| a.tokens().1),
            }
        }));
    }
    streams
}

/// Returns the seconds until the last stream ended, and how many streams were complete.
async fn wait_streams(streams: Vec<JoinHandle<StreamEnd>>, since: Instant) -> (f64, u64) {
    let mut longest = Duration::ZERO;
    let mut complete = 0;
    for stream in streams {
        let end = stream.await;
        longest = longest.max(end.at.saturating_duration_since(since));
        complete += u64::from(end.complete);
    }
    (longest.as_secs_f64(), complete)
}

async fn withdraw(cluster: &Cluster, id: &str) -> anyhow::Result<()> {
    let operator = cluster.operator();
    let request = rpc::NameRequest {
        change: operator.change(),
        name: id.to_owned(),
    };
    operator.client().withdraw_key(&request).await?;
    Ok(())
}

/// Counts the requests with the withdrawn key that are not refused with status 401.
async fn count_accepted(cluster: &Cluster, caller: &Caller) -> u64 {
    let until = Instant::now() + PROBE_TIME;
    let mut served = 0;
    while Instant::now() < until {
        for address in cluster.addresses() {
            served += u64::from(generate(caller, address, 1).await != Some(401));
        }
    }
    served
}

/// Suspends every control daemon. The plain daemons must abort and refuse requests with a key, and
/// continue to serve open routes.
async fn isolate_daemons(cluster: &Cluster) -> anyhow::Result<Isolation> {
    let secret = cluster.operator().grant_key("cut-off", "builders").await?;
    let caller = Caller::new()
        .with_key(&secret)
        .with_timeout(ISOLATION_TIME * 3);
    wait_served(cluster, &caller).await?;
    let streams = open_streams(cluster, &caller, CONTROL);
    task::sleep(STREAM_LEAD).await;
    let since = Instant::now();
    for index in 0..CONTROL {
        cluster.pause(index)?;
    }
    let mut isolation = Isolation {
        refused_s: wait_refused(cluster, &caller, since).await,
        ..Isolation::default()
    };
    while since.elapsed() < ISOLATION_TIME {
        for index in CONTROL..DAEMONS {
            let probe = caller.clone().with_timeout(Duration::from_secs(1));
            let keyed = generate(&probe, cluster.http(index), 1).await;
            isolation.served_after += u64::from(keyed == Some(200));
            isolation.open_failed += u64::from(!serves_open(cluster, index).await);
        }
        task::sleep(POLL_INTERVAL).await;
    }
    for index in 0..CONTROL {
        cluster.resume(index)?;
    }
    let resumed = Instant::now();
    isolation.streams_s = wait_streams(streams, since).await.0;
    wait_served(cluster, &caller).await?;
    isolation.recovered_s = resumed.elapsed().as_secs_f64();
    Ok(isolation)
}

/// Waits until every isolated daemon refuses the key; returns the seconds since `since`.
async fn wait_refused(cluster: &Cluster, caller: &Caller, since: Instant) -> f64 {
    let probe = caller.clone().with_timeout(Duration::from_millis(300));
    for index in CONTROL..DAEMONS {
        while generate(&probe, cluster.http(index), 1).await != Some(503) {
            task::sleep(POLL_INTERVAL).await;
            if since.elapsed() > PHASE_TIMEOUT {
                break;
            }
        }
    }
    since.elapsed().as_secs_f64()
}

async fn serves_open(cluster: &Cluster, index: usize) -> bool {
    let probe = Caller::new().with_timeout(Duration::from_secs(2));
    let answer = probe.get(cluster.http(index), "/v1/portal/status").await;
    answer.is_ok_and(|a| a.status == 200)
}
