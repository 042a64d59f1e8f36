//! A zone is evacuated and restored under requests, streams and batch items. The control leader is
//! killed between order and acknowledgement, an entry is suspended beyond the bound, and copies of the
//! order arrive late.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use futures::future::join_all;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;
use crate::scenarios::billing::find_leader;

const CONTROL: usize = 3;
const STORES: usize = 3;
const ENTRIES: usize = 3;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const UPSTREAMS: usize = 6;
/// Zone that is evacuated.
const EVACUATED: usize = 1;
/// Time after the acknowledgement of a start after which nothing may reach the zone.
const BOUND: Duration = Duration::from_secs(5);
/// Time for which an order is resent, and the interval.
const RESEND_TIME: Duration = Duration::from_secs(5);
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which the control leader is down.
const FAULT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which traffic runs before, after the bound and after the restore.
const PHASE_TIME: Duration = Duration::from_secs(3);
/// Events of a stream or an item's output.
const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
const WORK_TIME: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// Each such call asks for a stream.
const STREAM_PERIOD: usize = 5;
const JOB_INTERVAL: Duration = Duration::from_secs(1);
const ITEMS: usize = 12;
/// Longest time in which a caller repeats a request or reads the results of a job.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_evacuation(seed))
}

/// What the upstreams of the evacuated zone see.
#[derive(Debug, Default)]
struct Zone {
    /// When nothing may reach it any more; none while it isn't evacuated.
    closed: Option<Instant>,
    late: u64,
    served: u64,
}

#[derive(Debug, Default)]
struct Orders {
    refused: u64,
    unacknowledged: u64,
    waits: Vec<Duration>,
}

struct Shared {
    cell: PlanCell,
    lives: Vec<UpstreamIncarnation>,
    zone: Arc<Mutex<Zone>>,
    stop: AtomicBool,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn entry(&self, number: usize) -> SocketAddr {
        self.cell.entries[number % self.cell.entries.len()]
    }

    /// Sends one copy of an order to a control daemon and returns the status.
    async fn copy(&self, evacuate: bool, number: usize, orders: &mut Orders) -> Option<u16> {
        let to = self.cell.control[number % CONTROL];
        let status = self.cell.order(to, evacuate, ZONES[EVACUATED]).await;
        orders.refused += u64::from(status.is_some_and(|s| (400..500).contains(&s)));
        status
    }

    /// Sends an order until it is acknowledged.
    async fn order(&self, evacuate: bool, first: usize, orders: &mut Orders) {
        let sent = Instant::now();
        let mut number = first;
        while sent.elapsed() < RESEND_TIME {
            if self.copy(evacuate, number, orders).await == Some(200) {
                orders.waits.push(sent.elapsed());
                return;
            }
            number += 1;
            task::sleep(RESEND_INTERVAL).await;
        }
        orders.unacknowledged += 1;
    }
}

fn lock(zone: &Mutex<Zone>) -> MutexGuard<'_, Zone> {
    zone.lock().expect("no holder of this lock panics")
}

async fn run_evacuation(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + STORES + ENTRIES,
        zones: ZONES.len(),
        control: CONTROL,
        stores: STORES,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let zone = Arc::default();
    let (servers, lives) = spawn_upstreams(&zone).await?;
    let shared = Arc::new(Shared {
        cell: PlanCell::new(&cluster),
        lives,
        zone,
        stop: AtomicBool::new(false),
    });
    shared.cell.put_engine_plan().await?;
    let reports = task::spawn(report_repeatedly(Arc::clone(&shared)));
    shared.cell.wait_served(&shared.cell.entries).await?;
    while !run_job(&shared, 0).await {}
    let calls = task::spawn(call_repeatedly(Arc::clone(&shared)));
    let jobs = task::spawn(submit_repeatedly(Arc::clone(&shared)));
    task::sleep(PHASE_TIME).await;
    let served_before = lock(&shared.zone).served;
    let mut orders = Orders::default();
    evacuate(&mut cluster, &shared, seed, &mut orders).await?;
    lock(&shared.zone).closed = None;
    shared.order(false, seed as usize, &mut orders).await;
    let served_until = lock(&shared.zone).served;
    task::sleep(PHASE_TIME / 3).await;
    // Copies of the start that a link held up.
    shared.copy(true, seed as usize, &mut orders).await;
    shared.copy(true, seed as usize + 1, &mut orders).await;
    task::sleep(PHASE_TIME).await;
    let served_again = lock(&shared.zone).served - served_until;
    shared.stop.store(true, Ordering::SeqCst);
    let (calls, jobs) = (calls.await, jobs.await);
    reports.await;
    drop(servers);
    let waits = orders.waits.iter().map(|wait| wait.as_millis() as u64);
    Ok(json!({
        "scenario": "evacuation",
        "kind": "processes",
        "late_requests": lock(&shared.zone).late,
        "orders_refused": orders.refused,
        "orders_unacknowledged": orders.unacknowledged,
        "order_ms": waits.collect::<Vec<u64>>(),
        "lost": calls.iter().filter(|answered| !**answered).count(),
        "jobs_unfinished": jobs.iter().filter(|finished| !**finished).count(),
        "not_served_before": u64::from(served_before == 0),
        "not_served_again": u64::from(served_again == 0),
        "calls": calls.len(),
        "jobs": jobs.len(),
        "served_before": served_before,
        "served_again": served_again,
    }))
}

/// Orders the evacuation, kills the control leader meanwhile, and suspends an entry beyond the bound.
async fn evacuate(
    cluster: &mut Cluster,
    shared: &Arc<Shared>,
    seed: u64,
    orders: &mut Orders,
) -> anyhow::Result<()> {
    let entry = CONTROL + STORES + seed as usize % ENTRIES;
    let leader = find_leader(cluster).await?;
    cluster.pause(entry)?;
    // The first copy goes to the leader, which is killed before it can be sure to have answered.
    let first = {
        let shared = Arc::clone(shared);
        task::spawn(async move {
            let mut orders = Orders::default();
            shared.order(true, leader, &mut orders).await;
            orders
        })
    };
    task::sleep(Duration::from_millis(seed % 4)).await;
    cluster.kill(leader)?;
    let sent = first.await;
    lock(&shared.zone).closed = Some(Instant::now() + BOUND);
    orders.refused += sent.refused;
    orders.unacknowledged += sent.unacknowledged;
    orders.waits.extend(sent.waits);
    task::sleep(FAULT_TIME).await;
    cluster.start(leader)?;
    task::sleep(BOUND).await;
    cluster.resume(entry)?;
    // A resend while the zone is evacuated is acknowledged again.
    shared.order(true, leader + 1, orders).await;
    task::sleep(PHASE_TIME).await;
    Ok(())
}

async fn spawn_upstreams(
    zone: &Arc<Mutex<Zone>>,
) -> anyhow::Result<(Vec<Server>, Vec<UpstreamIncarnation>)> {
    let (mut servers, mut lives) = (Vec::new(), Vec::new());
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 4, u8::try_from(index)? + 1), 0));
        let born = Arc::new(Mutex::new(0));
        let handler = Upstream {
            zone: (index % ZONES.len() == EVACUATED).then(|| Arc::clone(zone)),
            born: Arc::clone(&born),
        };
        let server = Server::bind(listen, Limits::default(), handler).await?;
        let id = format!("upstream-{index}");
        let life = UpstreamIncarnation {
            software: SoftwareVersion("v1".to_owned()),
            ..plan::incarnation(&id, server.local_addr(), ZONES[index % ZONES.len()])?
        };
        *born.lock().expect("no holder of this lock panics") = life.born.0;
        lives.push(life);
        servers.push(server);
    }
    Ok((servers, lives))
}

async fn report_repeatedly(shared: Arc<Shared>) {
    let mut sequence = 0;
    while !shared.is_stopped() {
        sequence += 1;
        for life in &shared.lives {
            shared.cell.report(life, sequence).await;
        }
        task::sleep(REPORT_INTERVAL).await;
    }
}

/// Sends requests and returns whether each was answered.
async fn call_repeatedly(shared: Arc<Shared>) -> Vec<bool> {
    let mut calls = Vec::new();
    while !shared.is_stopped() {
        let (caller, number) = (Arc::clone(&shared), calls.len());
        calls.push(task::spawn(async move { call(&caller, number).await }));
        task::sleep(CALL_INTERVAL).await;
    }
    join_all(calls).await
}

/// Repeats a request at the entries in turn until it is answered.
async fn call(shared: &Shared, number: usize) -> bool {
    let path = if number.is_multiple_of(STREAM_PERIOD) {
        format!("{}{number}", plan::STREAMS)
    } else {
        format!("/call/{number}")
    };
    let until = Instant::now() + CALL_TIMEOUT;
    let mut entry = number;
    while Instant::now() < until {
        if shared.cell.get(shared.entry(entry), &path).await.status == Some(200) {
            return true;
        }
        entry += 1;
        task::sleep(POLL_INTERVAL).await;
    }
    false
}

async fn submit_repeatedly(shared: Arc<Shared>) -> Vec<bool> {
    let mut jobs = Vec::new();
    while !shared.is_stopped() {
        let (caller, number) = (Arc::clone(&shared), jobs.len());
        jobs.push(task::spawn(async move { run_job(&caller, number).await }));
        task::sleep(JOB_INTERVAL).await;
    }
    join_all(jobs).await
}

/// Submits a job and returns whether all of its results were listed.
async fn run_job(shared: &Shared, number: usize) -> bool {
    let until = Instant::now() + CALL_TIMEOUT;
    let id = shared.cell.next_id();
    let items = (0..ITEMS).map(|item| {
        let name = format!("{id:08x}{item:08x}");
        (name, format!("{}{item}", plan::BATCHES))
    });
    let items: Vec<(String, String)> = items.collect();
    let mut entry = number;
    while Instant::now() < until && !shared.cell.submit(id, shared.entry(entry), &items).await {
        entry += 1;
        task::sleep(POLL_INTERVAL).await;
    }
    let mut listed = 0;
    while Instant::now() < until && listed < ITEMS {
        entry += 1;
        let to = shared.entry(entry);
        let more = shared.cell.texts(id, to, listed).await;
        listed += more.unwrap_or_default().len();
        task::sleep(POLL_INTERVAL).await;
    }
    listed >= ITEMS
}

/// Answers requests and streams events.
#[derive(Clone)]
struct Upstream {
    /// The evacuated zone, if the upstream is in it.
    zone: Option<Arc<Mutex<Zone>>>,
    /// Start of the upstream.
    born: Arc<Mutex<u64>>,
}

impl Upstream {
    fn arrive(&self) {
        let Some(zone) = &self.zone else {
            return;
        };
        let mut zone = lock(zone);
        zone.served += 1;
        let is_late = zone.closed.is_some_and(|closed| Instant::now() > closed);
        zone.late += u64::from(is_late);
    }
}

/// Streams the events after a number.
fn stream(after: u64) -> http_types::Body {
    let (sender, body) = body::channel(1);
    task::spawn(async move {
        for number in after + 1..=EVENTS {
            task::sleep(EVENT_INTERVAL).await;
            let event = format!("id: {number}\ndata: {number}\n\n");
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
            let born = *self.born.lock().expect("no holder of this lock panics");
            response.set_body(fixtures::engine_report(born));
            return response;
        }
        self.arrive();
        let text = |name: &str| request.header(name).map(|v| v.as_str().to_owned());
        let after = text(headers::LAST_EVENT).and_then(|v| v.parse().ok());
        if path.starts_with(plan::STREAMS) || path.starts_with(plan::BATCHES) {
            response.set_body(stream(after.unwrap_or(0)));
            response.insert_header("content-type", "text/event-stream");
            response.insert_header(headers::VERSION, "1");
        } else {
            task::sleep(WORK_TIME).await;
            response.set_body("answer");
        }
        response.insert_header(headers::SEAL, "seal");
        let id = text(headers::ATTEMPT).unwrap_or_default();
        response.insert_header(headers::ATTEMPT, id.as_str());
        response
    }
}
