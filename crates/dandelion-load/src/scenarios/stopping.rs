//! An entry is stopped while callers go on sending on the connections that they keep to it. What it
//! has read is answered, or refused as not run; nothing that an upstream runs is cut.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_platform::headers;
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
use crate::cluster::plan::ONCE;
use crate::cluster::plan::PlanCell;
use crate::cluster::plan::request_id;

const CONTROL: usize = 3;
const ENTRIES: usize = 2;
const UPSTREAMS: usize = 2;
/// Callers, each with a connection of its own.
const CALLERS: u32 = 60;
/// Time in which a caller sends its request, from the signal on.
const SENDING_TIME: Duration = Duration::from_secs(2);
/// Time for which the entry finishes requests once it drains its connections.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that an upstream takes for a request of the paths `long`, well over half of its time limit.
const WORK_TIME: Duration = Duration::from_millis(1_500);
/// Longest wait for the end of the process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_stopping(seed))
}

async fn run_stopping(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: CONTROL + ENTRIES,
        control: CONTROL,
        gateway: true,
        stop_timeout: Some(STOP_TIMEOUT),
        ..ClusterConfig::default()
    })
    .await?;
    let arrived = Arrived::default();
    let servers = serve_upstreams(&cluster, &arrived).await?;
    let cell = PlanCell::new(&cluster);
    cell.put_once_plan().await?;
    cell.wait_served(&cell.entries).await?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let stopped = cell.entries[0];
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let cell = PlanCell::new(&cluster);
        // Opens the connection.
        cell.get(stopped, "/warm-up").await;
        let after = rng.random_range(Duration::ZERO..SENDING_TIME);
        callers.push((cell, u64::from(number) + 1_000, after));
    }
    let began = Instant::now();
    let sends = callers.into_iter().map(|(cell, number, after)| {
        task::spawn(async move {
            task::sleep(after.saturating_sub(began.elapsed())).await;
            let path = match number % 3 {
                0 => format!("/short/{number}"),
                1 => format!("{ONCE}short/{number}"),
                _ => format!("{ONCE}long/{number}"),
            };
            let answered = cell.get_as(number, stopped, &path).await;
            (answered.id, answered.status)
        })
    });
    let sends: Vec<_> = sends.collect();
    let exit = cluster.stop(CONTROL, EXIT_TIMEOUT).await?;
    let answers = join_all(sends).await;
    drop(servers);
    let arrived = arrived.0.lock().expect("no holder panics").clone();
    let ran = |id: u64| arrived.contains(&request_id(id));
    let count = |wanted: fn(Option<u16>) -> bool, has_run: bool| {
        let fits = |(id, status): &&(u64, Option<u16>)| wanted(*status) && ran(*id) == has_run;
        answers.iter().filter(fits).count()
    };
    Ok(json!({
        "scenario": "stopping",
        "kind": "processes",
        "cut": count(|status| status.is_none(), true),
        "false_not_run": count(|status| status == Some(503), true),
        "failed": count(|status| matches!(status, Some(500 | 502 | 504)), true),
        "unclean_exits": usize::from(exit != Some(0)),
        "answered": count(|status| status == Some(200), true),
        "refused": count(|status| status == Some(503), false),
        "closed_unread": count(|status| status.is_none(), false),
    }))
}

/// Ids of the requests that reached an upstream.
#[derive(Debug, Clone, Default)]
struct Arrived(Arc<Mutex<HashSet<String>>>);

impl Arrived {
    fn insert(&self, id: &str) {
        let mut arrived = self.0.lock().expect("no holder panics");
        arrived.insert(id.to_owned());
    }
}

/// Starts the upstreams and reports them until the cell is dropped.
async fn serve_upstreams(cluster: &Cluster, arrived: &Arrived) -> anyhow::Result<Vec<Server>> {
    let mut lives = Vec::new();
    let mut servers = Vec::new();
    for index in 0..UPSTREAMS {
        let listen = SocketAddr::from((Ipv4Addr::new(127, 3, 4, u8::try_from(index)? + 1), 0));
        let server = Server::bind(listen, Limits::default(), Worker(arrived.clone())).await?;
        let id = format!("worker-{index}");
        let mut life = plan::incarnation(&id, server.local_addr(), "z0")?;
        life.slots = CALLERS;
        lives.push(life);
        servers.push(server);
    }
    let cell = PlanCell::new(cluster);
    task::spawn(async move {
        for sequence in 1.. {
            for life in &lives {
                cell.report(life, sequence).await;
            }
            task::sleep(REPORT_INTERVAL).await;
        }
    });
    Ok(servers)
}

/// Answers a request after the time that its path says.
#[derive(Clone)]
struct Worker(Arrived);

impl Handler for Worker {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let id = request.header(headers::ATTEMPT).map(|id| id.as_str());
        let id = id.unwrap_or_default().to_owned();
        self.0.insert(&id);
        if request.url().path().contains("/long/") {
            task::sleep(WORK_TIME).await;
        }
        let mut response = Response::new(200);
        response.set_body("done");
        response.insert_header(headers::SEAL, "seal");
        response.insert_header(headers::ATTEMPT, id.as_str());
        response
    }
}
