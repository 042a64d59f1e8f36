//! Upstreams answer streams, and requests that take a broken one up, with errors and without their
//! seal. Callers must not find them in or as their stream.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::headers;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::Header;
use http_types::Request;
use http_types::Response;
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
const ROUNDS: usize = 10;
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Events of a stream before it breaks off.
const EVENTS: usize = 3;
const ERROR_TEXT: &str = "the engine is out of memory";

/// Answers of an upstream, each under a path of its name.
const SPOILED: [&str; 4] = ["unsealed", "error", "unsealed-error", "encoded"];

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_spoiled(seed))
}

async fn run_spoiled(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + ENTRIES,
        control: CONTROL,
        gateway: true,
        ..ClusterConfig::default()
    })
    .await?;
    let cell = PlanCell::new(&cluster);
    let (upstreams, servers) = spawn_upstreams().await?;
    cell.put_engine_plan().await?;
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
    for round in 0..ROUNDS {
        let entry = |offset: usize| cell.entries[(seed as usize + round + offset) % ENTRIES];
        for kind in SPOILED {
            let (_, opened) = get(&cell, entry(0), kind, None).await;
            counts.add(opened);
            let (id, broken) = get(&cell, entry(0), "breaks", None).await;
            counts.broken += usize::from(broken.is_some());
            let (_, taken_up) = get(&cell, entry(1), kind, Some(id)).await;
            counts.add(taken_up);
        }
    }
    let _cancelled = reports.cancel().await;
    drop(servers);
    Ok(json!({
        "scenario": "spoiled",
        "kind": "processes",
        "passed_unsealed": counts.unsealed,
        "errors_as_success": counts.errors,
        "broken_as_whole": counts.broken,
        "answers": counts.answers,
        "failures_passed_on": counts.failures,
    }))
}

/// An answer that ended whole.
#[derive(Debug)]
struct Whole {
    status: u16,
    sealed: bool,
    text: String,
}

#[derive(Debug, Default)]
struct Counts {
    answers: usize,
    /// Failures of upstreams that were passed on as such.
    failures: usize,
    /// Successes without the seal of an upstream.
    unsealed: usize,
    /// Successes with the text of an error.
    errors: usize,
    /// Streams that broke off at the upstream and were whole at the caller.
    broken: usize,
}

impl Counts {
    fn add(&mut self, answer: Option<Whole>) {
        self.answers += 1;
        let Some(answer) = answer else {
            return;
        };
        let is_success = (200..300).contains(&answer.status);
        self.unsealed += usize::from(is_success && !answer.sealed);
        self.errors += usize::from(is_success && answer.text.contains(ERROR_TEXT));
        self.failures += usize::from(answer.status == 500 && answer.sealed);
    }
}

/// Opens a stream, or takes one up after its last event; returns the request's number and its answer
/// if that is whole.
async fn get(
    cell: &PlanCell,
    entry: SocketAddr,
    kind: &str,
    resumes: Option<u64>,
) -> (u64, Option<Whole>) {
    let id = cell.next_id();
    let mut headers: Vec<Header> = plan::caller_headers(id).into();
    if let Some(opened) = resumes {
        headers.push(headers::header(headers::LAST_EVENT, &EVENTS.to_string()));
        headers.push(headers::header(headers::RESUMES, &request_id(opened)));
    }
    let path = format!("{}{kind}/{id}", plan::STREAMS);
    let opened = cell.open(entry, "GET", &path, &headers, Vec::new()).await;
    let Some(mut exchange) = opened else {
        return (id, None);
    };
    let Ok(text) = exchange.read_all(MAX_ANSWER_BYTES).await else {
        return (id, None);
    };
    let whole = Whole {
        status: exchange.status(),
        sealed: exchange.header(headers::SEAL).is_some(),
        text: String::from_utf8_lossy(&text).into_owned(),
    };
    (id, Some(whole))
}

async fn spawn_upstreams() -> anyhow::Result<(Vec<UpstreamIncarnation>, Vec<Server>)> {
    let mut upstreams = Vec::new();
    let mut servers = Vec::new();
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 3, u8::try_from(index)? + 1), 0));
        let server = Server::bind(listen, Limits::default(), Spoiler).await?;
        let id = format!("spoiler-{index}");
        upstreams.push(UpstreamIncarnation {
            software: SoftwareVersion("1".to_owned()),
            ..plan::incarnation(&id, server.local_addr(), "z0")?
        });
        servers.push(server);
    }
    Ok((upstreams, servers))
}

/// Answers as the path says.
#[derive(Clone)]
struct Spoiler;

impl Handler for Spoiler {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let kind = request.url().path().split('/').rev().nth(1).unwrap_or("");
        let mut response = match kind {
            "error" | "unsealed-error" => Response::new(500),
            _ => Response::new(200),
        };
        if kind.contains("error") || SPOILED.contains(&kind) {
            response.set_body(format!("id: 1\ndata: {ERROR_TEXT}\n\n"));
        }
        if kind == "breaks" {
            let (sender, body) = body::channel(EVENTS);
            response.set_body(body);
            task::spawn(async move {
                for number in 1..=EVENTS {
                    let event = format!("id: {number}\ndata: a word\n\n");
                    if sender.send(event.into_bytes()).await.is_err() {
                        return;
                    }
                }
                // Dropped without its end, the stream breaks off.
                task::sleep(Duration::from_millis(20)).await;
            });
        }
        if kind == "encoded" {
            response.insert_header("content-encoding", "gzip");
        }
        if !kind.starts_with("unsealed") {
            response.insert_header(headers::SEAL, "seal");
        }
        if let Some(id) = request.header(headers::ATTEMPT) {
            response.insert_header(headers::ATTEMPT, id.as_str());
        }
        response
    }
}
