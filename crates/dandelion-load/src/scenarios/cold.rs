//! Engines and upstreams of a plain service start during traffic and turn cold again, while entries and
//! the leader of the batch jobs send to them and the control leader is killed.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::task;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use futures::future::join_all;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::Gauges;
use crate::cluster::plan;
use crate::cluster::plan::Answered;
use crate::cluster::plan::PlanCell;

const CONTROL: usize = 3;
const STORES: usize = 3;
const ENTRIES: usize = 3;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
/// Upstreams of each service; the last ones start during traffic.
const UPSTREAMS: usize = 5;
const EARLY: usize = 3;
/// Requests a second that a cold upstream tolerates.
const COLD_RATE: f64 = 4.0;
const COLD_TIME: Duration = Duration::from_secs(7);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const SEND_INTERVAL: Duration = Duration::from_millis(15);
const JOB_INTERVAL: Duration = Duration::from_secs(1);
const ITEMS: usize = 24;
const EVENTS: u64 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
const WORK_TIME: Duration = Duration::from_millis(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time into a cold phase at which the control leader is killed.
const FAULT_DELAY: Duration = Duration::from_millis(3_500);
const FAULT_TIME: Duration = Duration::from_millis(1_500);

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests allowed in a window, as a multiple of what a cold upstream tolerates.
const ALLOWED_FACTOR: f64 = 1.5;
/// Requests allowed in a window beyond `ALLOWED_FACTOR`.
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after a running upstream has turned cold, and reported it, from which the bound must hold: the
/// longest lease of a daemon. For an upstream that starts it holds from the first request on.
const CONTACT_TIME: Duration = Duration::from_millis(2_500);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_cold(seed))
}

/// A phase in which an upstream is cold.
#[derive(Debug)]
struct Phase {
    /// When the bound begins to hold; none until the phase is reported.
    from: Option<Instant>,
    until: Instant,
    arrivals: Vec<Instant>,
    /// Whether all upstreams are cold.
    is_common: bool,
}

impl Phase {
    /// Returns the number of windows that begin with a request and have more than allowed.
    fn windows_over(&self) -> usize {
        let Some(from) = self.from else {
            return 0;
        };
        let allowed = (ALLOWED_FACTOR * COLD_RATE * WINDOW.as_secs_f64() + ALLOWED_EXTRA) as usize;
        let counted: Vec<Instant> = self.counted(from).collect();
        let in_window = |at: &&Instant| {
            let end = **at + WINDOW;
            let inside = counted
                .iter()
                .filter(|other| *other >= *at && **other < end);
            inside.count() > allowed
        };
        counted.iter().filter(in_window).count()
    }

    fn counted(&self, from: Instant) -> impl Iterator<Item = Instant> + '_ {
        let arrivals = self.arrivals.iter().copied();
        arrivals.filter(move |at| *at >= from && *at < self.until)
    }
}

/// An upstream, with the phases in which it was cold.
#[derive(Debug, Default)]
struct Record {
    phases: Vec<Phase>,
    arrivals: usize,
}

impl Record {
    fn begin(&mut self, from: Option<Instant>, is_common: bool) {
        self.phases.push(Phase {
            from,
            until: Instant::now() + COLD_TIME,
            arrivals: Vec::new(),
            is_common,
        });
    }

    fn arrive(&mut self) {
        self.arrivals += 1;
        if let Some(phase) = self.phases.last_mut() {
            phase.arrivals.push(Instant::now());
        }
    }

    /// Returns the time until the upstream is warm.
    fn cold_left(&self) -> Duration {
        let last = self.phases.last();
        last.map_or(Duration::ZERO, |phase| {
            phase.until.saturating_duration_since(Instant::now())
        })
    }

    /// Notes that the state was reported.
    fn reported(&mut self) {
        if let Some(phase) = self.phases.last_mut() {
            phase
                .from
                .get_or_insert_with(|| Instant::now() + CONTACT_TIME);
        }
    }
}

struct Shared {
    cell: PlanCell,
    records: Vec<Mutex<Record>>,
    stop: AtomicBool,
}

impl Shared {
    fn record(&self, index: usize) -> MutexGuard<'_, Record> {
        let record = self.records[index].lock();
        record.expect("no holder of this lock panics")
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}

async fn run_cold(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + STORES + ENTRIES,
        zones: ZONES.len(),
        control: CONTROL,
        stores: STORES,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let shared = Arc::new(Shared {
        cell: PlanCell::new(&cluster),
        records: (0..2 * UPSTREAMS).map(|_| Mutex::default()).collect(),
        stop: AtomicBool::new(false),
    });
    let phase = Millis(COLD_TIME.as_millis() as u64);
    shared.cell.put_cold_plan(phase, COLD_RATE).await?;
    let spawn = |index| task::spawn(run_upstream(Arc::clone(&shared), index));
    let (early, late): (Vec<usize>, Vec<usize>) =
        (0..2 * UPSTREAMS).partition(|index| index % UPSTREAMS < EARLY);
    let mut upstreams: Vec<_> = early.into_iter().map(spawn).collect();
    shared.cell.wait_served(&shared.cell.entries).await?;
    let sends = task::spawn(send_repeatedly(Arc::clone(&shared)));
    let jobs = task::spawn(submit_repeatedly(Arc::clone(&shared)));
    task::sleep(FAULT_TIME).await;
    for index in &late {
        shared.record(*index).begin(Some(Instant::now()), false);
    }
    upstreams.extend(late.into_iter().map(spawn));
    disturb(&mut cluster, seed).await?;
    for index in 0..2 * UPSTREAMS {
        shared.record(index).begin(None, true);
    }
    disturb(&mut cluster, seed + 1).await?;
    shared.stop.store(true, Ordering::SeqCst);
    let (answers, accepted) = (sends.await, jobs.await);
    for stopped in join_all(upstreams).await {
        stopped?;
    }
    Ok(figures(&shared, &answers, accepted))
}

fn figures(shared: &Shared, answers: &[Answered], accepted: usize) -> Value {
    let records: Vec<_> = (0..2 * UPSTREAMS)
        .map(|index| shared.record(index))
        .collect();
    let phases = || records.iter().flat_map(|record| &record.phases);
    let cold_requests = |of: &Record, is_common: bool| -> usize {
        let phases = of.phases.iter().filter(|p| p.is_common == is_common);
        let counted = phases.filter_map(|p| Some(p.counted(p.from?).count()));
        counted.sum()
    };
    let by_upstream = |is_common: bool| -> Vec<usize> {
        let records = records.iter();
        records.map(|r| cold_requests(r, is_common)).collect()
    };
    let common = by_upstream(true);
    let unused = [&common[..UPSTREAMS], &common[UPSTREAMS..]];
    let unused = unused.iter().filter(|s| s.iter().sum::<usize>() == 0);
    let count = |status| answers.iter().filter(|a| a.status == status).count();
    json!({
        "scenario": "cold",
        "kind": "processes",
        "windows_over_bound": phases().map(Phase::windows_over).sum::<usize>(),
        "phases": phases().count(),
        "phases_unreported": phases().filter(|p| p.from.is_none()).count(),
        "requests_after_start": by_upstream(false),
        "requests_all_cold": common,
        "services_unused_all_cold": unused.count(),
        "requests_by_upstream": records.iter().map(|r| r.arrivals).collect::<Vec<_>>(),
        "sent": answers.len(),
        "answered": count(Some(200)),
        "refused": count(Some(503)),
        "unanswered": count(None),
        "jobs_accepted": accepted,
    })
}

/// Waits for the time of a cold phase, and kills the control leader and pauses an entry in it.
async fn disturb(cluster: &mut Cluster, seed: u64) -> anyhow::Result<()> {
    let until = Instant::now() + COLD_TIME;
    task::sleep(FAULT_DELAY).await;
    let leader = find_leader(cluster).await?;
    cluster.kill(leader)?;
    let entry = CONTROL + STORES + seed as usize % ENTRIES;
    cluster.pause_for(&[entry], FAULT_TIME).await?;
    cluster.start(leader)?;
    task::sleep(until.saturating_duration_since(Instant::now()) + FAULT_TIME).await;
    Ok(())
}

async fn find_leader(cluster: &Cluster) -> anyhow::Result<usize> {
    let caller = Caller::new().with_timeout(Duration::from_secs(1));
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for index in 0..CONTROL {
            let gauges = Gauges::read(&caller, cluster.http(index)).await;
            if gauges.is_ok_and(|g| g.leader_term > 0) {
                return Ok(index);
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
    None.context("no daemon leads the control group")
}

/// Sends requests of callers to the entries in turn.
async fn send_repeatedly(shared: Arc<Shared>) -> Vec<Answered> {
    let mut sends = Vec::new();
    while !shared.is_stopped() {
        let (caller, number) = (Arc::clone(&shared), sends.len());
        sends.push(task::spawn(async move {
            let to = caller.cell.entries[number % ENTRIES];
            caller.cell.get(to, &format!("/desk/{number}")).await
        }));
        task::sleep(SEND_INTERVAL).await;
    }
    join_all(sends).await
}

/// Submits batch jobs and returns how many were accepted.
async fn submit_repeatedly(shared: Arc<Shared>) -> usize {
    let (mut number, mut accepted) = (0, 0);
    while !shared.is_stopped() {
        let id = shared.cell.next_id();
        let item = |item: usize| {
            (
                format!("{id:08x}{item:08x}"),
                format!("{}{item}", plan::BATCHES),
            )
        };
        let items: Vec<(String, String)> = (0..ITEMS).map(item).collect();
        let to = shared.cell.entries[number % ENTRIES];
        accepted += usize::from(shared.cell.submit(id, to, &items).await);
        number += 1;
        task::sleep(JOB_INTERVAL).await;
    }
    accepted
}

/// Runs one upstream, which reports the time until it is warm. The first half are engines.
async fn run_upstream(shared: Arc<Shared>, index: usize) -> anyhow::Result<()> {
    let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 4, u8::try_from(index)? + 1), 0));
    let handler = Answerer {
        shared: Arc::clone(&shared),
        index,
        born: Arc::default(),
    };
    let server = Server::bind(listen, Limits::default(), handler.clone()).await?;
    let zone = ZONES[index % ZONES.len()];
    let id = format!("upstream-{index}");
    let mut life = plan::incarnation(&id, server.local_addr(), zone)?;
    if index >= UPSTREAMS {
        life = UpstreamIncarnation {
            service: plan::PLAIN.parse()?,
            ..life
        };
    }
    *handler.born.lock().expect("no holder panics") = life.born.0;
    let mut sequence = 0;
    while !shared.is_stopped() {
        sequence += 1;
        let left = shared.record(index).cold_left().as_millis() as u64;
        if shared.cell.report_cold(&life, sequence, Millis(left)).await && left > 0 {
            shared.record(index).reported();
        }
        task::sleep(REPORT_INTERVAL).await;
    }
    Ok(())
}

/// Answers requests, and items with a short stream of events.
#[derive(Clone)]
struct Answerer {
    shared: Arc<Shared>,
    index: usize,
    born: Arc<Mutex<u64>>,
}

impl Handler for Answerer {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let mut response = Response::new(200);
        if request.url().path() == STATE_PATH {
            let born = *self.born.lock().expect("no holder panics");
            response.set_body(fixtures::engine_report(born));
            return response;
        }
        self.shared.record(self.index).arrive();
        let id = request.header(headers::ATTEMPT);
        let id = id.map(|id| id.as_str().to_owned()).unwrap_or_default();
        if request.method() == Method::Post {
            response.set_body(events());
            response.insert_header("content-type", "text/event-stream");
            response.insert_header(headers::VERSION, "1");
        } else {
            task::sleep(WORK_TIME).await;
            response.set_body("desk");
        }
        response.insert_header(headers::SEAL, "seal");
        response.insert_header(headers::ATTEMPT, id.as_str());
        response
    }
}

fn events() -> http_types::Body {
    let (sender, body) = body::channel(1);
    task::spawn(async move {
        for number in 1..=EVENTS {
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
