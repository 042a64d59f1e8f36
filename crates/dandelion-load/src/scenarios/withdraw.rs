//! A key is withdrawn under open streams; then the plain daemons are cut off from control.

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
const BEGUN: Duration = Duration::from_millis(500);
const PROBED: Duration = Duration::from_millis(500);
const CUT_OFF: Duration = Duration::from_secs(5);
const WAIT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(50);

/// Portals in each zone, so that every daemon owns one whichever the hash picks.
const PORTALS: usize = 6;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_withdraw(seed))
}

/// How a stream came to its end.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Instant,
    whole: bool,
}

#[derive(Debug, Default)]
struct CutOff {
    streams_s: f64,
    refused_s: f64,
    open_failed: u64,
    served_after: u64,
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
    let mut whole = 0;
    for round in 0..ROUNDS {
        let id = format!("key-{round}");
        let secret = operator.grant_key(&id, "builders").await?;
        let caller = Caller::new().with_key(&secret);
        wait_served(&cluster, &caller).await?;
        let streams = open_streams(&cluster, &caller, 0);
        task::sleep(BEGUN).await;
        let since = Instant::now();
        withdraw(&cluster, &id).await?;
        served_after += probe_after(&cluster, &caller).await;
        let (longest, finished) = last_end(streams, since).await;
        times.push(longest);
        whole += finished;
    }
    let cut = cut_off(&cluster).await?;
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
        "streams_whole": whole,
        "cut_off_streams_s": cut.streams_s,
        "cut_off_refused_s": cut.refused_s,
        "cut_off_open_failed": cut.open_failed,
        "cut_off_served_after": cut.served_after,
        "recovered_s": cut.recovered_s,
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
    let until = Instant::now() + WAIT;
    for address in cluster.addresses() {
        while generate(caller, address, 1).await != Some(200) {
            if Instant::now() > until {
                bail!("{address} serves no engine");
            }
            task::sleep(POLL).await;
        }
    }
    Ok(())
}

async fn generate(caller: &Caller, to: std::net::SocketAddr, tokens: u32) -> Option<u16> {
    let body = json!({ "prompt": "confirm", "max_tokens": tokens });
    let answer = caller.post(to, "/v1/draft/generate", &body).await;
    answer.ok().map(|a| a.status)
}

/// Opens long answers through every daemon from `first` on.
fn open_streams(cluster: &Cluster, caller: &Caller, first: usize) -> Vec<JoinHandle<Ended>> {
    let mut streams = Vec::new();
    for index in (first..cluster.len()).flat_map(|d| [d; STREAMS]) {
        let (caller, to) = (caller.clone(), cluster.http(index));
        streams.push(task::spawn(async move {
            let body = json!({ "prompt": "long", "max_tokens": TOKENS });
            let answer = caller.post(to, "/v1/draft/generate", &body).await;
            Ended {
                at: Instant::now(),
                whole: answer.is_ok_and(|a| a.tokens().1),
            }
        }));
    }
    streams
}

/// Returns the time until the last stream ended and how many came to their own end.
async fn last_end(streams: Vec<JoinHandle<Ended>>, since: Instant) -> (f64, u64) {
    let mut longest = Duration::ZERO;
    let mut whole = 0;
    for stream in streams {
        let ended = stream.await;
        longest = longest.max(ended.at.saturating_duration_since(since));
        whole += u64::from(ended.whole);
    }
    (longest.as_secs_f64(), whole)
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

/// Counts requests that any daemon accepts with the withdrawn key.
async fn probe_after(cluster: &Cluster, caller: &Caller) -> u64 {
    let until = Instant::now() + PROBED;
    let mut served = 0;
    while Instant::now() < until {
        for address in cluster.addresses() {
            served += u64::from(generate(caller, address, 1).await != Some(401));
        }
    }
    served
}

/// Suspends every control daemon; the others must cut keyed work and serve open routes.
async fn cut_off(cluster: &Cluster) -> anyhow::Result<CutOff> {
    let secret = cluster.operator().grant_key("cut-off", "builders").await?;
    let caller = Caller::new().with_key(&secret).within(CUT_OFF * 3);
    wait_served(cluster, &caller).await?;
    let streams = open_streams(cluster, &caller, CONTROL);
    task::sleep(BEGUN).await;
    let since = Instant::now();
    for index in 0..CONTROL {
        cluster.pause(index)?;
    }
    let mut cut = CutOff {
        refused_s: wait_refused(cluster, &caller, since).await,
        ..CutOff::default()
    };
    while since.elapsed() < CUT_OFF {
        for index in CONTROL..DAEMONS {
            let quick = caller.clone().within(Duration::from_secs(1));
            let keyed = generate(&quick, cluster.http(index), 1).await;
            cut.served_after += u64::from(keyed == Some(200));
            cut.open_failed += u64::from(!serves_open(cluster, index).await);
        }
        task::sleep(POLL).await;
    }
    for index in 0..CONTROL {
        cluster.resume(index)?;
    }
    let resumed = Instant::now();
    cut.streams_s = last_end(streams, since).await.0;
    wait_served(cluster, &caller).await?;
    cut.recovered_s = resumed.elapsed().as_secs_f64();
    Ok(cut)
}

/// Waits until every daemon that is cut off refuses the key, and returns how long that took.
async fn wait_refused(cluster: &Cluster, caller: &Caller, since: Instant) -> f64 {
    let quick = caller.clone().within(Duration::from_millis(300));
    for index in CONTROL..DAEMONS {
        while generate(&quick, cluster.http(index), 1).await != Some(503) {
            task::sleep(POLL).await;
            if since.elapsed() > WAIT {
                break;
            }
        }
    }
    since.elapsed().as_secs_f64()
}

async fn serves_open(cluster: &Cluster, index: usize) -> bool {
    let quick = Caller::new().within(Duration::from_secs(2));
    let answer = quick.get(cluster.http(index), "/v1/portal/status").await;
    answer.is_ok_and(|a| a.status == 200)
}
