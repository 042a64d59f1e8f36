//! Open connections to an upstream stall permanently while new connections work.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::relay::Relay;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::setup;

const DAEMONS: usize = 2;
const ROUNDS: usize = 4;
const TOKENS: u32 = 200;
const TOKEN_TIME: Duration = Duration::from_millis(5);
/// Time from the start of a stream to the stall.
const STREAM_LEAD: Duration = Duration::from_millis(300);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_silent(seed))
}

async fn run_silent(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        zones: 1,
        control: 1,
        ..ClusterConfig::default()
    })
    .await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    let caller = Caller::new().with_key(&secret);
    let (_engine, relay) = start_engine(&cluster).await?;
    setup::wait_owner(&cluster, "engine-0").await?;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        // Odd rounds stall a running stream, even ones an idle pooled connection.
        times.push(time_recovery(&cluster, &caller, &relay, seed, round).await);
        task::sleep(ROUND_PAUSE).await;
    }
    let ejected = (0..DAEMONS).map(|i| ejections(&cluster.log(i)));
    Ok(json!({
        "scenario": "silent",
        "kind": "processes",
        "recovered_s_max": times.iter().max().map_or(0.0, Duration::as_secs_f64),
        "recovered_s": times.iter().map(Duration::as_secs_f64).collect::<Vec<_>>(),
        "ejected_wrongly": ejected.sum::<usize>(),
        "rounds": ROUNDS,
    }))
}

/// Starts an engine behind a relay whose address it announces.
async fn start_engine(cluster: &Cluster) -> anyhow::Result<(Engine, Relay)> {
    let listen = std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?;
    let relay = Relay::bind(listen).await?;
    let mut identity = setup::identity("engine-0", "z0", "draft", &cluster.addresses());
    identity.address = Some(relay.local_addr());
    let mut config = EngineConfig::new(identity);
    config.listen = listen;
    config.token_time = TOKEN_TIME;
    Ok((Engine::bind(config).await?, relay))
}

/// Stalls the open connections and returns the time until a complete answer was received.
async fn time_recovery(
    cluster: &Cluster,
    caller: &Caller,
    relay: &Relay,
    seed: u64,
    round: usize,
) -> Duration {
    let to = cluster.http(round / 2 % cluster.len());
    let prompt = format!("round {seed} {round}");
    // Leaves an idle connection in the daemon's pool.
    generate(caller, to, &format!("{prompt} first"), 1).await;
    if round.is_multiple_of(2) {
        relay.blackhole_open();
        let began = Instant::now();
        while began.elapsed() < RECOVERY_TIMEOUT && !generate(caller, to, &prompt, 1).await {
            task::sleep(RETRY_INTERVAL).await;
        }
        return began.elapsed();
    }
    let stream = {
        let (caller, prompt) = (caller.clone(), prompt.clone());
        task::spawn(async move { generate(&caller, to, &prompt, TOKENS).await })
    };
    task::sleep(STREAM_LEAD).await;
    relay.blackhole_open();
    let began = Instant::now();
    // The rest of the stream would take this long without the stall.
    let remaining = (TOKEN_TIME * TOKENS).saturating_sub(STREAM_LEAD);
    if !stream.await {
        return RECOVERY_TIMEOUT;
    }
    began.elapsed().saturating_sub(remaining)
}

async fn generate(caller: &Caller, to: std::net::SocketAddr, prompt: &str, tokens: u32) -> bool {
    let body = json!({ "prompt": prompt, "max_tokens": tokens });
    let answer = caller.post(to, "/v1/draft/generate", &body).await;
    let complete = (setup::expected(prompt, tokens), true);
    let ok = answer.as_ref().is_ok_and(|a| a.tokens() == complete);
    if !ok {
        eprintln!(
            "incomplete answer: {:?}",
            answer.map(|a| (a.status, a.body.len()))
        );
    }
    ok
}

/// Counts the log lines of events that report an ejected upstream.
fn ejections(log: &str) -> usize {
    log.lines().filter(|line| line.contains("ejected")).count()
}
