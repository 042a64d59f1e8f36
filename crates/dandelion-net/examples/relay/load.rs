//! The callers: pairs of a direct and a relayed request one after the other, then many concurrent
//! streams.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use futures::future::join_all;

const LIMIT: Duration = Duration::from_mins(1);
/// Pairs of requests whose latency is compared.
const PAIRS: usize = 2000;
/// Clock ticks per second, the unit in which `/proc` counts CPU time.
const TICKS: f64 = 100.0;

/// Addresses and size of a run.
#[derive(Debug)]
pub struct Plan {
    pub engine: SocketAddr,
    pub daemon: SocketAddr,
    pub streams: usize,
    pub tokens: usize,
}

/// Runs the plan and prints one JSON line.
pub async fn run(plan: &Plan) {
    let client = Client::new(ClientOptions::default());
    let idle = pairs(&client, plan).await;
    let before = cpu(&client, plan.daemon).await;
    let start = Instant::now();
    let half = plan.streams / 2;
    let bytes = streams(&client, plan, plan.streams).await;
    let span = start.elapsed().as_secs_f64();
    let cores = (cpu(&client, plan.daemon).await - before) / TICKS / span;
    let events = (plan.streams * (plan.tokens + 1)) as f64;
    let load = streams(&client, plan, half);
    let (loaded, _bytes) = futures::join!(pairs(&client, plan), load);
    let report = serde_json::json!({
        "idle_added_p50_ms": idle.0, "idle_added_p99_ms": idle.1,
        "half_load_added_p50_ms": loaded.0, "half_load_added_p99_ms": loaded.1,
        "events_per_second": (events / span).round(),
        "daemon_cores": cores,
        "stream_events_per_core_second": (events / span / cores).round(),
        "stream_bytes": bytes,
    });
    println!("{report}");
}

/// Returns how many milliseconds longer relayed requests take than direct ones, at p50 and p99.
async fn pairs(client: &Client, plan: &Plan) -> (f64, f64) {
    let (mut direct, mut relayed) = (Vec::new(), Vec::new());
    for _ in 0..PAIRS {
        direct.push(timed(client, plan.engine).await);
        relayed.push(timed(client, plan.daemon).await);
    }
    direct.sort_unstable();
    relayed.sort_unstable();
    let added = |at: usize| (relayed[at].as_secs_f64() - direct[at].as_secs_f64()) * 1000.0;
    (added(PAIRS / 2), added(PAIRS * 99 / 100))
}

/// Measures a request without tokens, which the engine answers immediately.
async fn timed(client: &Client, to: SocketAddr) -> Duration {
    let start = Instant::now();
    let bytes = generate(client, to, 0).await;
    assert!(bytes > 0, "an empty answer");
    start.elapsed()
}

async fn streams(client: &Client, plan: &Plan, count: usize) -> u64 {
    let work = (0..count).map(|_| generate(client, plan.daemon, plan.tokens));
    join_all(work).await.into_iter().sum()
}

async fn generate(client: &Client, to: SocketAddr, tokens: usize) -> u64 {
    let body = format!("{{\"prompt\":\"p\",\"max_tokens\":{tokens}}}");
    let answer = fetch(client, to, "POST", "/generate", body).await;
    answer.len() as u64
}

async fn cpu(client: &Client, to: SocketAddr) -> f64 {
    let text = fetch(client, to, "GET", "/cpu", String::new()).await;
    String::from_utf8_lossy(&text).parse().expect("a number")
}

async fn fetch(client: &Client, to: SocketAddr, method: &str, path: &str, body: String) -> Vec<u8> {
    let request = request(to, method, path, &[], body.into_bytes()).expect("valid request");
    let options = SendOptions {
        deadline: Instant::now() + LIMIT,
        progress: LIMIT,
        idempotent: false,
        probe: true,
    };
    let mut exchange = client.send(to, request, &options).await.expect("a head");
    exchange.read_all(1 << 24).await.expect("a complete answer")
}
