//! The running fake platform.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use dandelion_net::clock::boot_now;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::json;
use dandelion_net::http::server::streamed;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::upstream::PriceKind;
use http_types::Request;
use http_types::Response;
use serde_json::json as value;

use crate::intake::body_of;
use crate::intake::fault;
use crate::intake::header;
use crate::intake::lock;
use crate::intake::parse;
use crate::platform::records::OrderRecord;
use crate::platform::records::PlatformCounts;
use crate::platform::records::Records;
use crate::platform::records::UsageRecord;
use crate::platform::records::Verdict;

/// Header that names the process that issues an order or a report.
const ISSUER: &str = "x-issuer";

/// Header with the fencing number of a report.
const FENCING: &str = "x-fencing";

/// How a fake platform behaves.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformConfig {
    /// Whether orders under an old term are refused; they are counted in any case.
    pub checks_fencing: bool,
}

#[derive(Debug)]
struct State {
    config: PlatformConfig,
    records: Mutex<Records>,
    losing: AtomicU32,
    lacking: Mutex<BTreeSet<(ZoneId, PriceKind)>>,
    taken: Sender<Order>,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
    taken: Receiver<Order>,
}

impl Platform {
    /// Starts the platform on a free loopback port.
    pub async fn bind(config: PlatformConfig) -> io::Result<Self> {
        let (sender, taken) = async_channel::unbounded();
        let state = Arc::new(State {
            config,
            records: Mutex::default(),
            losing: AtomicU32::new(0),
            lacking: Mutex::default(),
            taken: sender,
        });
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Desk(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        Ok(Self {
            server,
            state,
            taken,
        })
    }

    /// Returns the address that the platform listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Breaks off the next `count` answers after having acted on their requests.
    pub fn lose_answers(&self, count: u32) {
        self.state.losing.store(count, Ordering::SeqCst);
    }

    /// Sets whether upstreams of a zone and price kind can be had.
    pub fn set_stock(&self, zone: &ZoneId, price: PriceKind, has: bool) {
        let mut lacking = lock(&self.state.lacking);
        if has {
            lacking.remove(&(zone.clone(), price));
        } else {
            lacking.insert((zone.clone(), price));
        }
    }

    /// Gives out each order that was taken, once, for whoever starts and stops the fakes.
    pub fn taken(&self) -> Receiver<Order> {
        self.taken.clone()
    }

    /// Returns every order that came, resends included.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.state.records).orders.clone()
    }

    /// Returns every report that came, resends included.
    pub fn usage(&self) -> Vec<UsageRecord> {
        lock(&self.state.records).usage.clone()
    }

    /// Returns the counts.
    pub fn counts(&self) -> PlatformCounts {
        lock(&self.state.records).counts
    }

    /// Returns the issuers whose orders came.
    pub fn issuers(&self) -> BTreeSet<String> {
        lock(&self.state.records).issuers()
    }
}

#[derive(Debug, Clone)]
struct Desk(Arc<State>);

impl Handler for Desk {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let body = body_of(&mut request).await;
        let issuer = header(&request, ISSUER);
        let term = Term(header(&request, FENCING).parse().unwrap_or(0));
        let path = request.url().path().to_owned();
        if path == "/counters" {
            return json(200, &lock(&self.0.records).counts);
        }
        let answer = match path.strip_prefix("/usage/") {
            Some(window) => self.report(window, &body, issuer, term),
            None if path == "/orders" => self.order(&body, issuer),
            None => fault(404, "no such path"),
        };
        if self.loses() { broken() } else { answer }
    }
}

impl Desk {
    fn order(&self, body: &[u8], issuer: String) -> Response {
        let order: Order = match parse(body) {
            Ok(order) => order,
            Err(refused) => return *refused,
        };
        if self.lacks(&order) {
            return json(
                409,
                &value!({ "accepted": false, "reason": "out_of_stock" }),
            );
        }
        let fencing = self.0.config.checks_fencing;
        let verdict = lock(&self.0.records).order(order.clone(), issuer, boot_now(), fencing);
        match verdict {
            Verdict::Taken => {
                let _nobody = self.0.taken.try_send(order);
                json(200, &value!({ "accepted": true, "repeated": false }))
            }
            Verdict::Repeated => json(200, &value!({ "accepted": true, "repeated": true })),
            Verdict::Stale => fault(409, "the order has an old fencing number"),
            Verdict::Changed => fault(409, "the order id names another order"),
        }
    }

    fn report(&self, window: &str, body: &[u8], issuer: String, term: Term) -> Response {
        let record = UsageRecord {
            window: window.to_owned(),
            body: String::from_utf8_lossy(body).into_owned(),
            issuer,
            term,
            at: boot_now(),
        };
        if lock(&self.0.records).report(record) {
            json(200, &value!({ "accepted": true }))
        } else {
            fault(409, "the window was reported with other figures")
        }
    }

    fn lacks(&self, order: &Order) -> bool {
        match &order.body {
            OrderBody::Start { zone, price, .. } => {
                lock(&self.0.lacking).contains(&(zone.clone(), *price))
            }
            OrderBody::Stop { .. } => false,
        }
    }

    fn loses(&self) -> bool {
        let one_less = |left: u32| left.checked_sub(1);
        let losing = &self.0.losing;
        losing
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less)
            .is_ok()
    }
}

fn broken() -> Response {
    let items = futures::stream::iter([Err(body::BodyAborted)]);
    streamed(200, "application/json", body::from_stream(items))
}
