//! Engines of two software versions serve side by side and break off their answers, while daemons are
//! killed and an engine comes back under its name with the other version.

use std::io::ErrorKind;
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
use dandelion_net::http::client::Links;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::fixtures;
use dandelion_platform::headers;
use dandelion_platform::incarnations::STATE_PATH;
use dandelion_platform::stream::EventReader;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use futures::future::join_all;
use http_types::Request;
use http_types::Response;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;
use crate::cluster::plan::request_id;

const CONTROL: usize = 3;
const STORES: usize = 3;
const ENTRIES: usize = 3;
const FIRST_ENTRY: usize = CONTROL + STORES;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const ENGINES: usize = 6;
const SOFTWARE: [&str; 2] = ["v1", "v2"];
/// Events of a complete stream.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Probability that an engine breaks a stream off, at any of its events.
const BREAK_RATE: f64 = 0.5;
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after its start for which an engine that comes back is not reported.
const UNREPORTED_TIME: Duration = Duration::from_millis(1_200);
/// Time between two streams of callers.
const STREAM_INTERVAL: Duration = Duration::from_millis(60);
/// Tries of a caller after the first one.
const RETRIES: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time between two batch jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
const ITEMS: usize = 12;
/// Longest wait for the results of a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a daemon is down.
const FAULT_TIME: Duration = Duration::from_millis(1_200);
/// Time for which an entry is suspended, after which its lease may not have ended yet.
const SUSPENSION: Duration = Duration::from_millis(1_200);
const FAULT_INTERVAL: Duration = Duration::from_secs(2);
/// Least share of the streams taken up that must go on.
const RESUME_SHARE: f64 = 0.5;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_software(seed))
}

/// An engine as it is at the moment.
#[derive(Debug)]
struct Engine {
    life: UpstreamIncarnation,
    sequence: u64,
    /// When it started; an engine that comes back isn't reported at first.
    reported_from: Instant,
}

struct Shared {
    cell: PlanCell,
    engines: [Mutex<Engine>; ENGINES],
    rng: Mutex<SmallRng>,
    stop: AtomicBool,
}

impl Shared {
    fn engine(&self, index: usize) -> MutexGuard<'_, Engine> {
        lock(&self.engines[index])
    }

    fn entry(&self, number: usize) -> SocketAddr {
        self.cell.entries[number % self.cell.entries.len()]
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of this lock panics")
}

/// What became of a caller's stream.
#[derive(Debug, Default)]
struct Stream {
    /// Software version and number of each event, in the order of their arrival.
    events: Vec<(String, u64)>,
    /// Tries to take it up, and those that brought an event.
    resumes: u64,
    went_on: u64,
    /// Tries that were refused as not run.
    refused: u64,
    slowest_refusal: Duration,
    whole: bool,
}

impl Stream {
    fn is_mixed(&self) -> bool {
        let first = self.events.first().map(|(software, _)| software);
        self.events.iter().any(|(s, _)| Some(s) != first)
    }

    fn is_wrong(&self) -> bool {
        let numbers = self.events.iter().map(|(_, number)| *number);
        !numbers.eq(1..=self.events.len() as u64)
            || (self.whole && self.events.len() as u64 != EVENTS)
    }
}

async fn run_software(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: FIRST_ENTRY + ENTRIES,
        zones: ZONES.len(),
        control: CONTROL,
        stores: STORES,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let (shared, mut servers) = spawn_engines(&cluster, seed).await?;
    shared.cell.put_engine_plan().await?;
    let reports = task::spawn(report_repeatedly(Arc::clone(&shared)));
    wait_served(&shared).await;
    let streams = task::spawn(stream_repeatedly(Arc::clone(&shared)));
    let jobs = task::spawn(submit_repeatedly(Arc::clone(&shared)));
    disturb(&mut cluster, &shared, &mut servers, seed).await?;
    shared.stop.store(true, Ordering::SeqCst);
    let (streams, jobs) = (streams.await, jobs.await);
    reports.await;
    drop(servers);
    Ok(figures(&streams, &jobs))
}

fn figures(streams: &[Stream], jobs: &[Vec<String>]) -> Value {
    let sum = |count: fn(&Stream) -> u64| streams.iter().map(count).sum::<u64>();
    let begun = streams.iter().filter(|s| !s.events.is_empty()).count();
    let (resumes, went_on) = (sum(|s| s.resumes), sum(|s| s.went_on));
    let begun_share = begun as f64 / streams.len().max(1) as f64;
    let share = went_on as f64 / resumes.max(1) as f64;
    let texts: Vec<Stream> = jobs.iter().flatten().map(|text| read_text(text)).collect();
    let given_up = texts.iter().filter(|t| t.events.is_empty()).count();
    let slowest = streams.iter().map(|s| s.slowest_refusal).max();
    json!({
        "scenario": "software",
        "kind": "processes",
        "streams": streams.len(),
        "streams_whole": streams.iter().filter(|s| s.whole).count(),
        "streams_mixed": streams.iter().filter(|s| s.is_mixed()).count(),
        "streams_wrong": streams.iter().filter(|s| s.is_wrong()).count(),
        "begun_share": begun_share,
        "resumes": resumes,
        "went_on": went_on,
        "refused": sum(|s| s.refused),
        "slowest_refusal_ms": slowest.unwrap_or_default().as_millis() as u64,
        "few_went_on": u64::from(share < RESUME_SHARE * begun_share),
        "jobs": jobs.len(),
        "jobs_unfinished": jobs.iter().filter(|texts| texts.len() < ITEMS).count(),
        "texts": texts.len(),
        "texts_given_up": given_up,
        "texts_mixed": texts.iter().filter(|t| t.is_mixed()).count(),
        "texts_wrong": texts.iter().filter(|t| !t.events.is_empty() && t.is_wrong()).count(),
    })
}

/// Reads the events of an item's text; one of an item that was given up has none.
fn read_text(text: &str) -> Stream {
    Stream {
        events: text.lines().filter_map(parse_data).collect(),
        whole: !text.is_empty(),
        ..Stream::default()
    }
}

/// Parses the data of an event: the software version and the number.
fn parse_data(data: &str) -> Option<(String, u64)> {
    let (software, number) = data.split_once(' ')?;
    Some((software.to_owned(), number.parse().ok()?))
}

/// Kills an entry, a store, a control daemon and all entries but one in turn, and lets an engine come
/// back with the other version before each. Another entry is suspended meanwhile every second time, and
/// takes streams up with what it knew before; the other times, one loses its links to the engines.
async fn disturb(
    cluster: &mut Cluster,
    shared: &Arc<Shared>,
    servers: &mut [Option<Server>],
    seed: u64,
) -> anyhow::Result<()> {
    let pick = |count: usize, step: usize| (seed as usize + step) % count;
    for step in 0..8 {
        task::sleep(FAULT_INTERVAL).await;
        let index = pick(ENGINES, step);
        let suspended = (step % 2 == 1).then(|| FIRST_ENTRY + pick(ENTRIES, step / 2));
        if let Some(entry) = suspended {
            cluster.pause(entry)?;
        }
        let stranded = FIRST_ENTRY + pick(ENTRIES, step + 1);
        if suspended.is_none() {
            cluster.set_links(stranded, Links::Silent)?;
            task::sleep(SUSPENSION).await;
        }
        if let Some(server) = servers[index].take() {
            servers[index] = Some(restart_engine(shared, index, server).await?);
        }
        if let Some(entry) = suspended {
            task::sleep(SUSPENSION).await;
            cluster.resume(entry)?;
        }
        let killed = match step % 4 {
            0 => FIRST_ENTRY + pick(ENTRIES, step)..FIRST_ENTRY + pick(ENTRIES, step) + 1,
            1 => CONTROL + pick(STORES, step)..CONTROL + pick(STORES, step) + 1,
            2 => pick(CONTROL, step)..pick(CONTROL, step) + 1,
            _ => FIRST_ENTRY + 1..FIRST_ENTRY + ENTRIES,
        };
        cluster.kill_for(killed.clone(), FAULT_TIME, killed).await?;
        cluster.set_links(stranded, Links::Whole)?;
    }
    task::sleep(FAULT_INTERVAL).await;
    Ok(())
}

/// Stops an engine and starts it again at the same address, under its name, with the other version.
async fn restart_engine(
    shared: &Arc<Shared>,
    index: usize,
    server: Server,
) -> anyhow::Result<Server> {
    let address = server.local_addr();
    drop(server);
    {
        let mut engine = shared.engine(index);
        let other = if engine.life.software.0 == SOFTWARE[0] {
            SOFTWARE[1]
        } else {
            SOFTWARE[0]
        };
        let (id, zone) = (engine.life.id.clone(), engine.life.zone.clone());
        engine.life = incarnation(id.as_str(), address, zone.as_str(), other)?;
        engine.sequence = 0;
        engine.reported_from = Instant::now() + UNREPORTED_TIME;
    }
    let handler = Answerer {
        index,
        shared: Arc::new(Mutex::new(Some(Arc::clone(shared)))),
    };
    // The former listener closes in the background.
    loop {
        match Server::bind(address, Limits::default(), handler.clone()).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                task::sleep(EVENT_INTERVAL).await;
            }
            bound => return Ok(bound?),
        }
    }
}

fn incarnation(
    id: &str,
    address: SocketAddr,
    zone: &str,
    software: &str,
) -> anyhow::Result<UpstreamIncarnation> {
    Ok(UpstreamIncarnation {
        software: SoftwareVersion(software.to_owned()),
        ..plan::incarnation(id, address, zone)?
    })
}

async fn spawn_engines(
    cluster: &Cluster,
    seed: u64,
) -> anyhow::Result<(Arc<Shared>, Vec<Option<Server>>)> {
    let mut handlers = Vec::new();
    let mut servers = Vec::new();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let handler = Answerer {
            index,
            shared: Arc::default(),
        };
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 2, u8::try_from(index)? + 1), 0));
        let server = Server::bind(listen, Limits::default(), handler.clone()).await?;
        let (zone, software) = (ZONES[index % ZONES.len()], SOFTWARE[index % SOFTWARE.len()]);
        let id = format!("engine-{index}");
        engines.push(Mutex::new(Engine {
            life: incarnation(&id, server.local_addr(), zone, software)?,
            sequence: 0,
            reported_from: Instant::now(),
        }));
        servers.push(Some(server));
        handlers.push(handler);
    }
    let engines: [Mutex<Engine>; ENGINES] = engines
        .try_into()
        .map_err(|_engines| anyhow::anyhow!("there are {ENGINES} engines"))?;
    let shared = Arc::new(Shared {
        cell: PlanCell::new(cluster),
        engines,
        rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        stop: AtomicBool::new(false),
    });
    for handler in handlers {
        lock(&handler.shared).replace(Arc::clone(&shared));
    }
    Ok((shared, servers))
}

async fn report_repeatedly(shared: Arc<Shared>) {
    while !shared.is_stopped() {
        for index in 0..ENGINES {
            let report = {
                let mut engine = shared.engine(index);
                engine.sequence += 1;
                let is_reported = Instant::now() >= engine.reported_from;
                is_reported.then(|| (engine.life.clone(), engine.sequence))
            };
            if let Some((life, sequence)) = report {
                shared.cell.report(&life, sequence).await;
            }
        }
        task::sleep(REPORT_INTERVAL).await;
    }
}

/// Waits until every entry serves a stream and a batch job has its results.
async fn wait_served(shared: &Shared) {
    for number in 0..ENTRIES {
        while !run_stream(shared, number).await.whole {
            task::sleep(POLL_INTERVAL).await;
        }
    }
    while run_job(shared, 0).await.len() < ITEMS {}
}

async fn stream_repeatedly(shared: Arc<Shared>) -> Vec<Stream> {
    let mut streams = Vec::new();
    while !shared.is_stopped() {
        let (caller, number) = (Arc::clone(&shared), streams.len());
        streams.push(task::spawn(
            async move { run_stream(&caller, number).await },
        ));
        task::sleep(STREAM_INTERVAL).await;
    }
    join_all(streams).await
}

/// Runs one stream, and takes it up at the next entry whenever it breaks.
async fn run_stream(shared: &Shared, number: usize) -> Stream {
    let mut stream = Stream::default();
    let mut first = None;
    for retry in 0..=RETRIES {
        let id = shared.cell.next_id();
        let resumed = stream.events.last().map(|(_, number)| *number);
        stream.resumes += u64::from(resumed.is_some());
        let before = stream.events.len();
        let (to, path) = (
            shared.entry(number + retry),
            format!("{}{number}", plan::STREAMS),
        );
        try_stream(shared, to, &path, id, first, resumed, &mut stream).await;
        if stream.events.len() > before {
            first.get_or_insert(id);
            stream.went_on += u64::from(resumed.is_some());
        }
        if stream.whole {
            break;
        }
        task::sleep(RETRY_DELAY).await;
    }
    stream
}

/// Makes one try at a stream and adds the events that it brings. `first` is the try that brought the
/// first event, and `after` the last event.
async fn try_stream(
    shared: &Shared,
    to: SocketAddr,
    path: &str,
    id: u64,
    first: Option<u64>,
    after: Option<u64>,
    stream: &mut Stream,
) {
    let mut sent = plan::caller_headers(id).to_vec();
    if let (Some(first), Some(after)) = (first, after) {
        sent.push(headers::header(headers::LAST_EVENT, &after.to_string()));
        sent.push(headers::header(headers::RESUMES, &request_id(first)));
    }
    let started = Instant::now();
    let answer = shared.cell.open(to, "POST", path, &sent, Vec::new()).await;
    let Some(mut answer) = answer else {
        return;
    };
    if answer.status() != 200 {
        stream.refused += 1;
        stream.slowest_refusal = stream.slowest_refusal.max(started.elapsed());
        return;
    }
    let mut reader = EventReader::default();
    while let Ok(chunk) = answer.chunk().await {
        let Some(chunk) = chunk else {
            stream.whole = true;
            return;
        };
        let events = reader.push(&chunk).unwrap_or_default();
        let data = events.iter().filter_map(|event| parse_data(&event.data));
        stream.events.extend(data);
    }
}

async fn submit_repeatedly(shared: Arc<Shared>) -> Vec<Vec<String>> {
    let mut jobs = Vec::new();
    while !shared.is_stopped() {
        let (caller, number) = (Arc::clone(&shared), jobs.len());
        jobs.push(task::spawn(async move { run_job(&caller, number).await }));
        task::sleep(JOB_INTERVAL).await;
    }
    join_all(jobs).await
}

/// Submits a job and returns the texts of its items.
async fn run_job(shared: &Shared, number: usize) -> Vec<String> {
    let until = Instant::now() + JOB_TIMEOUT;
    let id = shared.cell.next_id();
    let item = |item: usize| {
        (
            format!("{id:08x}{item:08x}"),
            format!("{}{item}", plan::BATCHES),
        )
    };
    let items: Vec<(String, String)> = (0..ITEMS).map(item).collect();
    let mut entry = number;
    while Instant::now() < until && !shared.cell.submit(id, shared.entry(entry), &items).await {
        entry += 1;
        task::sleep(POLL_INTERVAL).await;
    }
    let mut texts = Vec::new();
    while Instant::now() < until && texts.len() < ITEMS {
        entry += 1;
        let more = shared
            .cell
            .texts(id, shared.entry(entry), texts.len())
            .await;
        texts.extend(more.unwrap_or_default());
        task::sleep(POLL_INTERVAL).await;
    }
    texts
}

/// Streams events that name the engine's software version, and breaks off some of the streams.
#[derive(Clone)]
struct Answerer {
    index: usize,
    shared: Arc<Mutex<Option<Arc<Shared>>>>,
}

impl Answerer {
    /// Returns the engine's start and software version, and the event at which to break off.
    fn plan(&self) -> Option<(UpstreamIncarnation, Option<u64>)> {
        let shared = lock(&self.shared).clone()?;
        let life = shared.engine(self.index).life.clone();
        let mut rng = lock(&shared.rng);
        let breaks = rng.random_bool(BREAK_RATE);
        let broken_at = breaks.then(|| rng.random_range(1..=EVENTS));
        Some((life, broken_at))
    }
}

impl Handler for Answerer {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let Some((life, broken_at)) = self.plan() else {
            return Response::new(503);
        };
        if request.url().path() == STATE_PATH {
            let mut response = Response::new(200);
            response.set_body(fixtures::engine_report(life.born.0));
            return response;
        }
        let text = |name: &str| request.header(name).map(|v| v.as_str().to_owned());
        let id = text(headers::ATTEMPT).unwrap_or_default();
        let after = text(headers::LAST_EVENT).and_then(|v| v.parse().ok());
        let (sender, body) = body::channel(1);
        task::spawn(async move {
            for number in after.unwrap_or(0) + 1..=EVENTS {
                task::sleep(EVENT_INTERVAL).await;
                if broken_at == Some(number) {
                    return;
                }
                let event = format!("id: {number}\ndata: {} {number}\n\n", life.software);
                if sender.send(event.into_bytes()).await.is_err() {
                    return;
                }
            }
            // The caller may have disconnected after the last event.
            let _gone = sender.finish().await;
        });
        let mut response = Response::new(200);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header(headers::SEAL, "seal");
        response.insert_header(headers::VERSION, "1");
        response.insert_header(headers::ATTEMPT, id.as_str());
        response
    }
}
