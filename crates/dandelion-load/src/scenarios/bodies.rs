//! Long bodies, alone, several at once and tried at more than one upstream. An entry that forwards them holds
//! each of them once.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use async_std::task::JoinHandle;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::headers;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use futures::future::join_all;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::peak_memory;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;

const CONTROL: usize = 3;
const UPSTREAMS: usize = 3;
/// Longest body of a request, in bytes.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// What an entry may hold besides the bodies, in bytes: buffers of connections, and segments that are kept.
const OTHER_BYTES: usize = 12 * 1024 * 1024;
/// First path element of requests whose first two tries fail.
const FAILS: &str = "/fails/";
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Requests that one entry gets.
struct Load {
    name: &'static str,
    path: &'static str,
    bytes: usize,
    /// Callers at the same time.
    callers: usize,
    /// Requests of each caller, one after the other.
    rounds: usize,
}

const LOADS: [Load; 4] = [
    Load {
        name: "alone",
        path: "/grade/",
        bytes: 24 * 1024 * 1024,
        callers: 1,
        rounds: 3,
    },
    Load {
        name: "at_once",
        path: "/grade/",
        bytes: 2 * 1024 * 1024,
        callers: 12,
        rounds: 2,
    },
    Load {
        name: "retried",
        path: FAILS,
        bytes: 24 * 1024 * 1024,
        callers: 1,
        rounds: 2,
    },
    Load {
        name: "once",
        path: plan::ONCE,
        bytes: 8 * 1024 * 1024,
        callers: 3,
        rounds: 2,
    },
];

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_bodies(seed))
}

async fn run_bodies(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + LOADS.len(),
        control: CONTROL,
        gateway: true,
        body_bytes: Some(BODY_BYTES),
        ..ClusterConfig::default()
    })
    .await?;
    let cell = PlanCell::new(&cluster);
    let (servers, lives, wrong) = spawn_upstreams().await?;
    cell.put_once_plan().await?;
    let reports = report_repeatedly(PlanCell::new(&cluster), lives);
    cell.wait_served(&cell.entries).await?;
    let (mut over, mut unserved) = (0, 0);
    let mut figures = Vec::new();
    for (number, load) in LOADS.iter().enumerate() {
        let pid = cluster.pid(CONTROL + number).unwrap_or_default();
        let before = peak_memory(pid)?;
        let callers = (0..load.callers).map(|at| send(&cell, number, load, seed + at as u64));
        let served: usize = join_all(callers).await.into_iter().sum();
        let growth = peak_memory(pid)?.saturating_sub(before);
        let bound = load.callers * load.bytes + OTHER_BYTES;
        over += usize::from(growth > bound);
        unserved += load.callers * load.rounds - served;
        figures.push(json!({ "load": load.name, "growth": growth, "bound": bound }));
    }
    let _cancelled = reports.cancel().await;
    drop(servers);
    Ok(json!({
        "scenario": "bodies",
        "kind": "processes",
        "loads": figures,
        "entries_over_bound": over,
        "not_served": unserved,
        "wrong_bodies": wrong.load(Ordering::SeqCst),
    }))
}

/// Sends the requests of one caller and returns how many were served.
async fn send(cell: &PlanCell, entry: usize, load: &Load, seed: u64) -> usize {
    let mut served = 0;
    for _ in 0..load.rounds {
        let body = content(seed, load.bytes);
        let id = cell.next_id();
        let path = format!("{}{seed}", load.path);
        let status = cell.post(id, cell.entries[entry], &path, body).await;
        served += usize::from(status == Some(200));
    }
    served
}

/// Returns a body that the upstream can check: each byte follows from its position and the seed.
fn content(seed: u64, length: usize) -> Vec<u8> {
    (0..length as u64).map(|at| byte(seed, at)).collect()
}

fn byte(seed: u64, at: u64) -> u8 {
    ((at + seed) % 251) as u8
}

type Spawned = (Vec<Server>, Vec<UpstreamIncarnation>, Arc<AtomicUsize>);

async fn spawn_upstreams() -> anyhow::Result<Spawned> {
    let (mut servers, mut lives) = (Vec::new(), Vec::new());
    let limits = Limits {
        body_bytes: BODY_BYTES,
        ..Limits::default()
    };
    let upstream = Upstream::default();
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 12, u8::try_from(index)? + 1), 0));
        let server = Server::bind(listen, limits, upstream.clone()).await?;
        let id = format!("upstream-{index}");
        lives.push(plan::incarnation(&id, server.local_addr(), "z0")?);
        servers.push(server);
    }
    Ok((servers, lives, upstream.wrong))
}

fn report_repeatedly(cell: PlanCell, lives: Vec<UpstreamIncarnation>) -> JoinHandle<()> {
    task::spawn(async move {
        for sequence in 1.. {
            for life in &lives {
                cell.report(life, sequence).await;
            }
            task::sleep(REPORT_INTERVAL).await;
        }
    })
}

/// Checks the bodies, and fails two of three tries of some requests.
#[derive(Debug, Clone, Default)]
struct Upstream {
    wrong: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
}

impl Handler for Upstream {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let path = request.url().path().to_owned();
        let id = request
            .header(headers::ATTEMPT)
            .map(|v| v.as_str().to_owned());
        let body = request.body_bytes().await.unwrap_or_default();
        let seed = path.rsplit('/').next().and_then(|text| text.parse().ok());
        if let Some(seed) = seed {
            let mut bytes = body.iter().enumerate();
            let is_whole = bytes.all(|(at, b)| *b == byte(seed, at as u64));
            self.wrong
                .fetch_add(usize::from(!is_whole), Ordering::SeqCst);
        }
        let fails = path.starts_with(FAILS)
            && !self.failed.fetch_add(1, Ordering::SeqCst).is_multiple_of(3);
        let mut response = Response::new(if fails { 500 } else { 200 });
        response.set_body(body.len().to_string());
        response.insert_header(headers::SEAL, "seal");
        response.insert_header(headers::ATTEMPT, id.unwrap_or_default());
        response
    }
}
