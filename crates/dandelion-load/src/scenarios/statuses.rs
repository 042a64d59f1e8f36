//! Upstreams answer with statuses that HTTP doesn't define, on every kind of route. Callers must not get
//! such an answer, and a request that may run only once is neither repeated nor called not run.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use dandelion_net::http::client::Links;
use dandelion_platform::headers;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::Header;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::StreamExt;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::plan;
use crate::cluster::plan::PlanCell;
use crate::cluster::plan::request_id;

const CONTROL: usize = 3;
const ENTRIES: usize = 2;
const UPSTREAMS: usize = 2;
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Events of a stream before it breaks off.
const EVENTS: usize = 3;
const TEXT: &str = "text of an answer that says neither success nor failure";
/// Status lines of the answers. Each stands in the path of the requests that get it.
const STATUSES: [&str; 8] = ["000", "042", "099", "150", "600", "999", "0200", "-12"];
/// Prefixes of the routes: requests that may be repeated, that may run once, and streams.
const ROUTES: [&str; 3] = ["/grade/", plan::ONCE, plan::STREAMS];

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_statuses(seed))
}

type Runs = Arc<Mutex<HashMap<String, usize>>>;

fn lock(runs: &Runs) -> MutexGuard<'_, HashMap<String, usize>> {
    runs.lock().expect("no holder of this lock panics")
}

async fn run_statuses(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + ENTRIES,
        control: CONTROL,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let cell = PlanCell::new(&cluster);
    let runs = Runs::default();
    let (upstreams, servers) = spawn_upstreams(&runs).await?;
    cell.put_stream_and_once_plan().await?;
    let reporting = PlanCell::new(&cluster);
    let reports = task::spawn(async move {
        for sequence in 1.. {
            for upstream in &upstreams {
                reporting.report(upstream, sequence).await;
            }
            task::sleep(REPORT_INTERVAL).await;
        }
    });
    cell.wait_served(&cell.entries).await?;
    let mut counts = Counts::default();
    for detoured in [false, true] {
        let entry = seed as usize % ENTRIES;
        if detoured {
            // The other entry forwards the requests.
            cluster.set_links(CONTROL + entry, Links::Refusing)?;
        }
        for (status, route) in STATUSES.iter().flat_map(|s| ROUTES.map(|route| (s, route))) {
            let path = format!("{route}{status}");
            let (id, answer) = get(&cell, cell.entries[entry], &path, None).await;
            counts.add(route, lock(&runs).get(&request_id(id)).copied(), answer);
        }
        for status in STATUSES {
            let (opened, _) = get(&cell, cell.entries[1 - entry], "/streams/breaks", None).await;
            let path = format!("{}{status}", plan::STREAMS);
            let (id, answer) = get(&cell, cell.entries[entry], &path, Some(opened)).await;
            let ran = lock(&runs).get(&request_id(id)).copied();
            counts.add(plan::STREAMS, ran, answer);
        }
    }
    cluster.set_links(CONTROL + seed as usize % ENTRIES, Links::Whole)?;
    let served = cell.get(cell.entries[0], "/warm-up").await.status == Some(200);
    let _cancelled = reports.cancel().await;
    drop(servers);
    Ok(json!({
        "scenario": "statuses",
        "kind": "processes",
        "passed_on": counts.passed_on,
        "false_not_run": counts.false_not_run,
        "once_repeated": counts.once_repeated,
        "not_served_after": usize::from(!served),
        "answers": counts.answers,
        "ran": counts.ran,
    }))
}

/// An answer as the caller got it; none if there was no complete one.
type Answer = Option<(u16, bool, String)>;

#[derive(Debug, Default)]
struct Counts {
    answers: usize,
    /// Requests that reached an upstream.
    ran: usize,
    /// Answers with the upstream's text, or with another status than those of this product's refusals.
    passed_on: usize,
    /// Requests that ran and were called not run.
    false_not_run: usize,
    /// Requests that may run once and ran again.
    once_repeated: usize,
}

impl Counts {
    fn add(&mut self, route: &str, ran: Option<usize>, answer: Answer) {
        let runs = ran.unwrap_or(0);
        self.answers += 1;
        self.ran += usize::from(runs > 0);
        self.once_repeated += usize::from(route == plan::ONCE && runs > 1);
        let Some((status, not_run, text)) = answer else {
            return;
        };
        let is_own = [502, 503, 504].contains(&status) && !text.contains(TEXT);
        self.passed_on += usize::from(!is_own);
        self.false_not_run += usize::from(not_run && runs > 0);
    }
}

/// Sends a request, or takes a stream up; returns the request's number and the answer.
async fn get(
    cell: &PlanCell,
    entry: SocketAddr,
    path: &str,
    resumes: Option<u64>,
) -> (u64, Answer) {
    let id = cell.next_id();
    let mut headers: Vec<Header> = plan::caller_headers(id).into();
    if let Some(opened) = resumes {
        headers.push(headers::header(headers::LAST_EVENT, &EVENTS.to_string()));
        headers.push(headers::header(headers::RESUMES, &request_id(opened)));
    }
    let opened = cell.open(entry, "GET", path, &headers, Vec::new()).await;
    let Some(mut exchange) = opened else {
        return (id, None);
    };
    let Ok(text) = exchange.read_all(MAX_ANSWER_BYTES).await else {
        return (id, None);
    };
    let text = String::from_utf8_lossy(&text).into_owned();
    let not_run = exchange.header(headers::NOT_RUN).is_some();
    (id, Some((exchange.status(), not_run, text)))
}

async fn spawn_upstreams(
    runs: &Runs,
) -> anyhow::Result<(Vec<UpstreamIncarnation>, Vec<JoinHandle<()>>)> {
    let mut upstreams = Vec::new();
    let mut servers = Vec::new();
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 4, u8::try_from(index)? + 1), 0));
        let listener = TcpListener::bind(listen).await?;
        upstreams.push(UpstreamIncarnation {
            software: SoftwareVersion("1".to_owned()),
            ..plan::incarnation(&format!("odd-{index}"), listener.local_addr()?, "z0")?
        });
        let runs = Arc::clone(runs);
        servers.push(task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                let runs = Arc::clone(&runs);
                task::spawn(async move {
                    // A daemon that refuses an answer closes the connection.
                    let _closed = serve(stream, &runs).await;
                });
            }
        }));
    }
    Ok((upstreams, servers))
}

async fn serve(mut stream: TcpStream, runs: &Runs) -> std::io::Result<()> {
    while let Some(head) = read_head(&mut stream).await? {
        let id = head.lines().find_map(|line| {
            line.split_once(": ")
                .filter(|(name, _)| *name == headers::ATTEMPT)
        });
        let id = id.map(|(_, id)| id.trim().to_owned()).unwrap_or_default();
        *lock(runs).entry(id.clone()).or_default() += 1;
        let path = head.split(' ').nth(1).unwrap_or_default();
        let kind = path.rsplit('/').next().unwrap_or_default();
        let breaks = kind == "breaks";
        let status = STATUSES.iter().find(|status| **status == kind);
        let status = status.unwrap_or(&"200");
        let framing = if breaks {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", TEXT.len())
        };
        let attempt = headers::ATTEMPT;
        let seal = headers::SEAL;
        let answer =
            format!("HTTP/1.1 {status} OK\r\n{framing}\r\n{attempt}: {id}\r\n{seal}: seal\r\n\r\n");
        stream.write_all(answer.as_bytes()).await?;
        if breaks {
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: a word\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            task::sleep(Duration::from_millis(20)).await;
            return Ok(());
        }
        stream.write_all(TEXT.as_bytes()).await?;
    }
    Ok(())
}

/// Reads the head of a request without a body, in lower case; none at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&head).to_lowercase()))
}
