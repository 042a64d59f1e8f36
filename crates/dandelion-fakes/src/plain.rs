//! A plain service that echoes request bodies and counts executions per idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::streamed;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::upstream::Announcement;
use dandelion_protocol::upstream::ReportedLoad;
use dandelion_protocol::upstream::UpstreamKind;
use http_types::Body;
use http_types::Request;
use http_types::Response;

use crate::announce::Announcer;
use crate::announce::Identity;
use crate::support::ReceivedRequests;
use crate::support::header;
use crate::support::lock;
use crate::support::read_body;

/// Header with the id that all sends of one request share.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const REQUEST_ID: &str = "x-request-id";

/// Configuration of a fake plain service.
#[derive(Debug, Clone)]
pub struct PlainConfig {
    /// Identity of the service and the daemons that it announces itself to.
    pub identity: Identity,
    /// Announced number of concurrent requests; the fake doesn't enforce it.
    pub capacity: u32,
    /// Time that each request takes.
    pub delay: Duration,
}

#[derive(Debug)]
struct State {
    config: PlainConfig,
    runs: Mutex<BTreeMap<String, u64>>,
    running: AtomicU32,
    leaving: AtomicBool,
    requests: ReceivedRequests,
}

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    server: Server,
    state: Arc<State>,
    _announcer: Announcer,
}

impl Plain {
    /// Starts the service and its announcements.
    pub async fn bind(config: PlainConfig) -> io::Result<Self> {
        let identity = config.identity.clone();
        let state = Arc::new(State {
            config,
            runs: Mutex::default(),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            requests: ReceivedRequests::default(),
        });
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Echo(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        let address = server.local_addr();
        let reported = Arc::clone(&state);
        let report = move |identity: &Identity| announcement(identity, address, &reported);
        Ok(Self {
            server,
            state,
            _announcer: Announcer::spawn(identity, report),
        })
    }

    /// Returns the address that the service listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Sets `leaving` in all further announcements; the service keeps serving.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the number of executions under an idempotency key. Requests without a key count under
    /// the empty key.
    pub fn runs(&self, key: &str) -> u64 {
        lock(&self.state.runs).get(key).copied().unwrap_or(0)
    }

    /// Returns the idempotency keys that were executed at least once.
    pub fn keys(&self) -> Vec<String> {
        let runs = lock(&self.state.runs);
        runs.keys().filter(|key| !key.is_empty()).cloned().collect()
    }

    /// Returns the number of idempotency keys that were executed more than once.
    pub fn repeated_keys(&self) -> usize {
        let runs = lock(&self.state.runs);
        let repeated = |(key, count): &(&String, &u64)| !key.is_empty() && **count > 1;
        runs.iter().filter(repeated).count()
    }

    /// Returns the recorded requests.
    pub fn requests(&self) -> &ReceivedRequests {
        &self.state.requests
    }
}

#[derive(Debug, Clone)]
struct Echo(Arc<State>);

impl Handler for Echo {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let state = &self.0;
        let body = read_body(&mut request).await;
        state.requests.add(&request, &body);
        let key = header(&request, IDEMPOTENCY_KEY);
        *lock(&state.runs).entry(key).or_default() += 1;
        state.running.fetch_add(1, Ordering::SeqCst);
        if !state.config.delay.is_zero() {
            async_std::task::sleep(state.config.delay).await;
        }
        state.running.fetch_sub(1, Ordering::SeqCst);
        let kind = "application/octet-stream";
        let mut response = streamed(200, kind, Body::from_bytes(body));
        let id = header(&request, REQUEST_ID);
        if !id.is_empty() {
            response.insert_header(REQUEST_ID, id);
        }
        response
    }
}

fn announcement(identity: &Identity, address: SocketAddr, state: &State) -> Announcement {
    Announcement {
        upstream: identity.upstream.clone(),
        boot: identity.boot,
        sequence: 0,
        zone: identity.zone.clone(),
        address: address.to_string(),
        service: identity.service.clone(),
        kind: UpstreamKind::Plain,
        price: identity.price,
        capacity: state.config.capacity,
        version: None,
        checks_fencing: false,
        resumes: false,
        leaving: state.leaving.load(Ordering::SeqCst),
        software: SoftwareVersion::default(),
        load: ReportedLoad {
            running: state.running.load(Ordering::SeqCst),
            ..ReportedLoad::default()
        },
    }
}
