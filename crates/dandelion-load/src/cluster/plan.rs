//! A cell that serves a route plan: calls of its operators, upstreams and callers.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use anyhow::bail;
use async_std::future::timeout;
use async_std::task;
use dandelion_net::http::client;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendOptions;
use dandelion_platform::fixtures;
use dandelion_platform::fixtures::PlanFixture;
use dandelion_platform::fixtures::ResultFixture;
use dandelion_platform::fixtures::ScoredItem;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::mesh::Header;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

use crate::cluster::Cluster;

/// Service of the plan.
const SERVICE: &str = "grades";

/// Plain service of the plan of [`PlanCell::put_cold_plan`].
pub const PLAIN: &str = "desks";

/// Path prefix of the route for streams.
pub const STREAMS: &str = "/streams/";

/// Path prefix of the route for batch jobs.
pub const BATCHES: &str = "/batches/";

/// Path prefix of the route whose requests may run once at most.
pub const ONCE: &str = "/once/";

const HOST: &str = "assay.example";
const KEY: &str = "a-key-for-loopback-cells-only";
/// Attempts of each route.
pub const ATTEMPTS: u32 = 3;
/// Longest time until a request of the plan is answered.
const TIMEOUT: Millis = Millis(2_000);
/// Longest wait until a cell has started to serve the plan.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the acknowledgement of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the acknowledgement of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that an upstream of the service runs at once.
const SLOTS: u32 = 8;
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An answer to a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// Id of the request.
    pub id: u64,
    /// Status; none if there was no complete answer.
    pub status: Option<u16>,
    /// Time until the answer was complete.
    pub took: Duration,
}

/// The addresses of a cell that serves a route plan, and a client for them.
#[derive(Debug)]
pub struct PlanCell {
    client: Client,
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the control daemons.
    pub control: Vec<SocketAddr>,
    next_id: AtomicU64,
}

impl PlanCell {
    /// Wraps a cell whose daemons serve a route plan.
    pub fn new(cluster: &Cluster) -> Self {
        let control = cluster.control();
        Self {
            client: Client::new(ClientOptions::default()),
            entries: (control + cluster.stores()..cluster.len())
                .map(|i| cluster.gateway(i))
                .collect(),
            control: (0..control).map(|i| cluster.gateway(i)).collect(),
            next_id: AtomicU64::new(1),
        }
    }

    /// Sends a request once and returns the head of its answer.
    pub async fn open(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
    ) -> Option<Exchange> {
        let request = client::request_for(HOST, method, path, headers, body).ok()?;
        let limit = Duration::from_millis(TIMEOUT.0) + Duration::from_secs(1);
        let options = SendOptions {
            deadline: Instant::now() + limit,
            progress: limit,
            idempotent: false,
            probe: true,
        };
        self.client.send(to, request, &options).await.ok()
    }

    /// Sends a request once and returns the status of a complete answer.
    async fn call(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[Header],
        body: Vec<u8>,
    ) -> Option<u16> {
        let mut exchange = self.open(to, method, path, headers, body).await?;
        exchange.read_all(MAX_ANSWER_BYTES).await.ok()?;
        Some(exchange.status())
    }

    /// Submits a batch job under the number `id` and returns whether it was accepted.
    pub async fn submit(&self, id: u64, to: SocketAddr, items: &[(String, String)]) -> bool {
        let headers = caller_headers(id);
        let body = fixtures::job(items);
        let path = format!("{BATCHES}{id}");
        self.call(to, "POST", &path, &headers, body).await == Some(202)
    }

    /// Submits an encoded batch job under the number `id` and returns the status of the answer.
    pub async fn submit_encoded(&self, id: u64, to: SocketAddr, job: Vec<u8>) -> Option<u16> {
        let path = format!("{BATCHES}{id}");
        self.call(to, "POST", &path, &caller_headers(id), job).await
    }

    /// Ends a batch job and returns the status of the answer.
    pub async fn end(&self, id: u64, to: SocketAddr) -> Option<u16> {
        let path = fixtures::job_path(&request_id(id));
        let headers = caller_headers(id);
        self.call(to, "DELETE", &path, &headers, Vec::new()).await
    }

    /// Submits a batch job whose items are scored and returns whether it was accepted.
    pub async fn submit_scored(&self, id: u64, to: SocketAddr, items: &[ScoredItem]) -> bool {
        let headers = caller_headers(id);
        let body = fixtures::scored_job(HOST, items);
        let path = format!("{BATCHES}{id}");
        self.call(to, "POST", &path, &headers, body).await == Some(202)
    }

    /// Reads the results of a batch job from a position on; none without a complete answer.
    pub async fn results(
        &self,
        id: u64,
        to: SocketAddr,
        after: usize,
    ) -> Option<Vec<ResultFixture>> {
        let path = fixtures::results_path(&request_id(id), after);
        let headers = caller_headers(id);
        let mut exchange = self.open(to, "GET", &path, &headers, Vec::new()).await?;
        let page = exchange.read_all(MAX_ANSWER_BYTES).await.ok()?;
        fixtures::results(&page)
    }

    /// Reads the texts of a batch job from a position on; none without a complete answer.
    pub async fn texts(&self, id: u64, to: SocketAddr, after: usize) -> Option<Vec<String>> {
        let path = fixtures::results_path(&request_id(id), after);
        let headers = caller_headers(id);
        let mut exchange = self.open(to, "GET", &path, &headers, Vec::new()).await?;
        let page = exchange.read_all(MAX_ANSWER_BYTES).await.ok()?;
        fixtures::texts(&page)
    }

    /// Sends a caller's request to an entry.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Answered {
        self.get_as(self.next_id(), to, path).await
    }

    /// Sends a caller's request with a body under a number from [`Self::next_id`], and returns the status of
    /// a complete answer.
    pub async fn post(&self, id: u64, to: SocketAddr, path: &str, body: Vec<u8>) -> Option<u16> {
        self.call(to, "POST", path, &caller_headers(id), body).await
    }

    /// Returns a number for a request that no other request has.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a caller's request to an entry under a number from [`Self::next_id`].
    pub async fn get_as(&self, id: u64, to: SocketAddr, path: &str) -> Answered {
        let headers = caller_headers(id);
        let sent = Instant::now();
        let status = self.call(to, "GET", path, &headers, Vec::new()).await;
        Answered {
            id,
            status,
            took: sent.elapsed(),
        }
    }

    /// Puts a plan in force. Besides `/`, its routes serve the given prefixes.
    pub async fn put_plan(&self, version: u64, prefixes: &[&str]) -> anyhow::Result<()> {
        let service: ServiceId = SERVICE.parse()?;
        let plan = PlanFixture {
            version,
            prefixes,
            ..plan_of(&service)
        };
        self.put(fixtures::plan(&plan)).await
    }

    /// Puts a plan in force with a route for [`ONCE`].
    pub async fn put_once_plan(&self) -> anyhow::Result<()> {
        let service: ServiceId = SERVICE.parse()?;
        self.put(fixtures::plan_with_once(&plan_of(&service), ONCE))
            .await
    }

    /// Puts a plan in force with routes for [`STREAMS`] and [`ONCE`].
    pub async fn put_stream_and_once_plan(&self) -> anyhow::Result<()> {
        let service: ServiceId = SERVICE.parse()?;
        let plan = PlanFixture {
            streams: Some(STREAMS),
            ..plan_of(&service)
        };
        self.put(fixtures::plan_with_once(&plan, ONCE)).await
    }

    /// Puts a plan in force whose service has engines, with routes for [`STREAMS`] and [`BATCHES`].
    pub async fn put_engine_plan(&self) -> anyhow::Result<()> {
        let service: ServiceId = SERVICE.parse()?;
        let plan = PlanFixture {
            streams: Some(STREAMS),
            batches: Some(BATCHES),
            ..plan_of(&service)
        };
        self.put(fixtures::plan(&plan)).await
    }

    /// Puts a plan in force whose service has engines, which run batch jobs, and with [`PLAIN`], which
    /// serves all other requests. Upstreams of both are cold for `time` after a start and then tolerate
    /// `per_second` requests a second.
    pub async fn put_cold_plan(&self, time: Millis, per_second: f64) -> anyhow::Result<()> {
        let (service, second): (ServiceId, ServiceId) = (SERVICE.parse()?, PLAIN.parse()?);
        let plan = PlanFixture {
            batches: Some(BATCHES),
            ..plan_of(&service)
        };
        self.put(fixtures::plan_with_cold(&plan, &second, time, per_second))
            .await
    }

    async fn put(&self, plan: Vec<u8>) -> anyhow::Result<()> {
        let path = fixtures::REPLACE_PLAN_PATH;
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            for control in &self.control {
                let sent = self.call(*control, "POST", path, &[], plan.clone()).await;
                if sent == Some(200) {
                    return Ok(());
                }
            }
            task::sleep(POLL_INTERVAL).await;
        }
        bail!("no control daemon acknowledged the plan")
    }

    /// Waits until each entry in `entries` serves a request for `/warm-up`.
    pub async fn wait_served(&self, entries: &[SocketAddr]) -> anyhow::Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for entry in entries {
            while self.get(*entry, "/warm-up").await.status != Some(200) {
                if Instant::now() > until {
                    bail!("entry {entry} serves no request");
                }
                task::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Sends an order to evacuate a zone, or to cancel that, to a control daemon and returns the status
    /// of its answer.
    pub async fn order(&self, control: SocketAddr, evacuate: bool, zone: &str) -> Option<u16> {
        let path = fixtures::evacuation_path(zone, evacuate);
        let sent = Box::pin(self.call(control, "POST", &path, &[], Vec::new()));
        timeout(ORDER_TIMEOUT, sent).await.ok().flatten()
    }

    /// Sends a report of an upstream to the first control daemon that acknowledges it.
    pub async fn report(&self, upstream: &UpstreamIncarnation, sequence: u64) {
        let body = fixtures::report(upstream, sequence);
        self.send_report(upstream, &body).await;
    }

    /// Sends a report of an upstream that is cold for some more time, and returns whether a control
    /// daemon acknowledged it.
    pub async fn report_cold(
        &self,
        upstream: &UpstreamIncarnation,
        sequence: u64,
        left: Millis,
    ) -> bool {
        let body = fixtures::cold_report(upstream, sequence, left);
        self.send_report(upstream, &body).await
    }

    async fn send_report(&self, upstream: &UpstreamIncarnation, body: &[u8]) -> bool {
        let path = fixtures::report_path(upstream);
        for control in &self.control {
            let sent = Box::pin(self.call(*control, "POST", &path, &[], body.to_vec()));
            // A control daemon may be paused; the next report follows soon.
            if timeout(REPORT_TIMEOUT, sent).await == Ok(Some(200)) {
                return true;
            }
        }
        false
    }
}

fn plan_of(service: &ServiceId) -> PlanFixture<'_> {
    PlanFixture {
        version: 1,
        host: HOST,
        service,
        key: KEY,
        attempts: ATTEMPTS,
        timeout: TIMEOUT,
        prefixes: &[],
        streams: None,
        batches: None,
    }
}

/// Returns the headers of a caller's request.
pub fn caller_headers(id: u64) -> [Header; 3] {
    fixtures::caller_headers(&request_id(id), KEY, TIMEOUT)
}

/// Returns the id that upstreams see for a request of [`PlanCell::get`].
pub fn request_id(id: u64) -> String {
    format!("{id:016x}")
}

/// Returns an incarnation of an upstream of the plan's service that starts now.
pub fn incarnation(
    id: &str,
    address: SocketAddr,
    zone: &str,
) -> anyhow::Result<UpstreamIncarnation> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(UpstreamIncarnation {
        id: id.parse()?,
        born: WallMillis(now.as_millis() as u64),
        service: SERVICE.parse()?,
        address,
        zone: zone.parse()?,
        slots: SLOTS,
        ready: true,
        software: SoftwareVersion::default(),
    })
}
