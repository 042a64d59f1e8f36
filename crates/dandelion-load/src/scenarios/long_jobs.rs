//! Batch jobs about as long as a message between daemons. Each is accepted and run, or refused for good, and
//! the jobs of others go on.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use async_std::task::JoinHandle;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;

const CONTROL: usize = 3;
const STORES: usize = 3;
const ENTRIES: usize = 1;
const UPSTREAMS: usize = 2;
/// Longest body of a request, in bytes.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// Longest message between daemons, in bytes.
const MESSAGE: usize = 16 * 1024 * 1024;
/// Lengths of the long jobs' bodies, in bytes: accepted, those whose log entry or message is just too long
/// after each other, and longer ones.
const LENGTHS: [usize; 7] = [
    1024 * 1024,
    MESSAGE - 16 * 1024,
    MESSAGE - 700,
    MESSAGE - 550,
    MESSAGE - 400,
    MESSAGE - 250,
    MESSAGE + 1024 * 1024,
];
const EVENTS: u64 = 3;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time until a small job is done.
const JOB_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time until the end of a job is acknowledged.
const END_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_long_jobs(seed))
}

async fn run_long_jobs(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + STORES + ENTRIES,
        control: CONTROL,
        stores: STORES,
        gateway: true,
        body_bytes: Some(BODY_BYTES),
        ..ClusterConfig::default()
    })
    .await?;
    let cell = PlanCell::new(&cluster);
    let (servers, lives) = spawn_upstreams().await?;
    cell.put_engine_plan().await?;
    let reports = report_repeatedly(PlanCell::new(&cluster), lives);
    cell.wait_served(&cell.entries).await?;
    let mut statuses = Vec::new();
    let (mut unclear, mut long_unfinished, mut unfinished, mut unended) = (0, 0, 0, 0);
    for (number, length) in LENGTHS.iter().enumerate() {
        let id = cell.next_id();
        let path = format!("{}{id}-0", plan::BATCHES);
        // The seed varies the length a little, as other ids and headers do.
        let length = length + 3 * (seed as usize % 16);
        let job = fixtures::long_job(&format!("{id:08x}{number:08x}"), &path, length);
        let status = cell.submit_encoded(id, cell.entries[0], job).await;
        unclear += usize::from(!matches!(status, Some(202 | 413)));
        if status == Some(202) {
            long_unfinished += usize::from(!is_done(&cell, id, 1).await);
        }
        statuses.push(json!({ "length": length, "status": status }));
        let done = run_small_job(&cell).await;
        unfinished += usize::from(done.is_none());
        if let Some(small) = done {
            unended += usize::from(!is_ended(&cell, small).await);
        }
    }
    let _cancelled = reports.cancel().await;
    drop(servers);
    Ok(json!({
        "scenario": "long_jobs",
        "kind": "processes",
        "long_jobs": statuses,
        "long_unclear": unclear,
        "long_unfinished": long_unfinished,
        "jobs_unfinished": unfinished,
        "ends_unacknowledged": unended,
    }))
}

/// Submits a small job and waits for its results; returns its number, or none if it is not done in time.
async fn run_small_job(cell: &PlanCell) -> Option<u64> {
    let id = cell.next_id();
    let items = [(format!("{id:016x}"), format!("{}{id}-0", plan::BATCHES))];
    let until = Instant::now() + JOB_TIMEOUT;
    while !cell.submit(id, cell.entries[0], &items).await {
        if Instant::now() > until {
            return None;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    is_done(cell, id, items.len()).await.then_some(id)
}

/// Waits until all items of a job are listed; returns whether they are in time.
async fn is_done(cell: &PlanCell, id: u64, items: usize) -> bool {
    let until = Instant::now() + JOB_TIMEOUT;
    while Instant::now() < until {
        let listed = cell.results(id, cell.entries[0], 0).await;
        let completed = listed.map_or(0, |l| l.iter().filter(|r| r.is_completed).count());
        if completed == items {
            return true;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Ends a job; returns whether the end is acknowledged in time.
async fn is_ended(cell: &PlanCell, id: u64) -> bool {
    let until = Instant::now() + END_TIMEOUT;
    while Instant::now() < until {
        if cell.end(id, cell.entries[0]).await == Some(200) {
            return true;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    false
}

async fn spawn_upstreams() -> anyhow::Result<(Vec<Server>, Vec<UpstreamIncarnation>)> {
    let (mut servers, mut lives) = (Vec::new(), Vec::new());
    let limits = Limits {
        body_bytes: BODY_BYTES,
        ..Limits::default()
    };
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 11, u8::try_from(index)? + 1), 0));
        let mut life = plan::incarnation(&format!("upstream-{index}"), listen, "z0")?;
        let upstream = Upstream { born: life.born.0 };
        let server = Server::bind(listen, limits, upstream).await?;
        life.address = server.local_addr();
        lives.push(life);
        servers.push(server);
    }
    Ok((servers, lives))
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

/// Answers requests and streams events.
#[derive(Debug, Clone, Copy)]
struct Upstream {
    /// Start of the upstream.
    born: u64,
}

/// Streams the events after a number.
fn stream(after: u64) -> http_types::Body {
    let (sender, body) = body::channel(1);
    task::spawn(async move {
        for number in after + 1..=EVENTS {
            let event = format!("id: {number}\ndata: a word\n\n");
            if sender.send(event.into_bytes()).await.is_err() {
                return;
            }
        }
        // The caller may have disconnected after the last event.
        let _gone = sender.finish().await;
    });
    body
}

impl Handler for Upstream {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let path = request.url().path();
        let mut response = Response::new(200);
        if path == STATE_PATH {
            response.set_body(fixtures::engine_report(self.born));
            return response;
        }
        let text = |name: &str| request.header(name).map(|v| v.as_str().to_owned());
        if path.starts_with(plan::BATCHES) {
            let after = text(headers::LAST_EVENT).and_then(|v| v.parse().ok());
            response.set_body(stream(after.unwrap_or(0)));
            response.insert_header("content-type", "text/event-stream");
            response.insert_header(headers::VERSION, "1");
        } else {
            response.set_body("answer");
        }
        response.insert_header(headers::SEAL, "seal");
        let id = text(headers::ATTEMPT).unwrap_or_default();
        response.insert_header(headers::ATTEMPT, id.as_str());
        response
    }
}
