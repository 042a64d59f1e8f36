//! The fake platform's server and its control handle.

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

use crate::platform::records::OrderCheck;
use crate::platform::records::OrderRecord;
use crate::platform::records::PlatformCounts;
use crate::platform::records::Records;
use crate::platform::records::UsageRecord;
use crate::support::error_response;
use crate::support::header;
use crate::support::lock;
use crate::support::parse;
use crate::support::read_body;

/// Header with the name of the daemon that sends an order or a report.
const ISSUER: &str = "x-issuer";

/// Header with the fencing term of a report.
const FENCING: &str = "x-fencing";

/// Configuration of a fake platform.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformConfig {
    /// Whether orders with a stale term are refused; they are counted either way.
    pub checks_fencing: bool,
}

#[derive(Debug)]
struct State {
    config: PlatformConfig,
    records: Mutex<Records>,
    pending_losses: AtomicU32,
    out_of_stock: Mutex<BTreeSet<(ZoneId, PriceKind)>>,
    accepted_orders: Sender<Order>,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    state: Arc<State>,
    accepted_orders: Receiver<Order>,
}

impl Platform {
    /// Starts the platform on a free loopback port.
    pub async fn bind(config: PlatformConfig) -> io::Result<Self> {
        let (sender, accepted_orders) = async_channel::unbounded();
        let state = Arc::new(State {
            config,
            records: Mutex::default(),
            pending_losses: AtomicU32::new(0),
            out_of_stock: Mutex::default(),
            accepted_orders: sender,
        });
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = PlatformHandler(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        Ok(Self {
            server,
            state,
            accepted_orders,
        })
    }

    /// Returns the address that the platform listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Aborts the next `count` answers after processing their requests.
    pub fn lose_answers(&self, count: u32) {
        self.state.pending_losses.store(count, Ordering::SeqCst);
    }

    /// Sets whether start orders for a zone and price kind are accepted.
    pub fn set_stock(&self, zone: &ZoneId, price: PriceKind, has: bool) {
        let mut out_of_stock = lock(&self.state.out_of_stock);
        if has {
            out_of_stock.remove(&(zone.clone(), price));
        } else {
            out_of_stock.insert((zone.clone(), price));
        }
    }

    /// Returns the queue of accepted orders, each delivered once, for the code that starts and
    /// stops fake upstreams.
    pub fn accepted_orders(&self) -> Receiver<Order> {
        self.accepted_orders.clone()
    }

    /// Returns every order received, resends included.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.state.records).orders.clone()
    }

    /// Returns every usage report received, resends included.
    pub fn usage(&self) -> Vec<UsageRecord> {
        lock(&self.state.records).usage.clone()
    }

    /// Returns the counters.
    pub fn counts(&self) -> PlatformCounts {
        lock(&self.state.records).counts
    }

    /// Returns the distinct issuers of the received orders.
    pub fn issuers(&self) -> BTreeSet<String> {
        lock(&self.state.records).issuers()
    }
}

#[derive(Debug, Clone)]
struct PlatformHandler(Arc<State>);

impl Handler for PlatformHandler {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let body = read_body(&mut request).await;
        let issuer = header(&request, ISSUER);
        let term = Term(header(&request, FENCING).parse().unwrap_or(0));
        let path = request.url().path().to_owned();
        if path == "/counters" {
            return json(200, &lock(&self.0.records).counts);
        }
        let answer = match path.strip_prefix("/usage/") {
            Some(window) => self.report(window, &body, issuer, term),
            None if path == "/orders" => self.order(&body, issuer),
            None => error_response(404, "no such path"),
        };
        if self.loses_answer() {
            aborted_response()
        } else {
            answer
        }
    }
}

impl PlatformHandler {
    fn order(&self, body: &[u8], issuer: String) -> Response {
        let order: Order = match parse(body) {
            Ok(order) => order,
            Err(refused) => return *refused,
        };
        if self.is_out_of_stock(&order) {
            return json(
                409,
                &value!({ "accepted": false, "reason": "out_of_stock" }),
            );
        }
        let fencing = self.0.config.checks_fencing;
        let check = lock(&self.0.records).order(order.clone(), issuer, boot_now(), fencing);
        match check {
            OrderCheck::Accepted => {
                let _no_receiver = self.0.accepted_orders.try_send(order);
                json(200, &value!({ "accepted": true, "repeated": false }))
            }
            OrderCheck::Repeated => json(200, &value!({ "accepted": true, "repeated": true })),
            OrderCheck::Stale => error_response(409, "the order has an old fencing number"),
            OrderCheck::Conflicting => error_response(409, "the order id names another order"),
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
            error_response(409, "the window was reported with other figures")
        }
    }

    fn is_out_of_stock(&self, order: &Order) -> bool {
        match &order.body {
            OrderBody::Start { zone, price, .. } => {
                lock(&self.0.out_of_stock).contains(&(zone.clone(), *price))
            }
            OrderBody::Stop { .. } => false,
        }
    }

    fn loses_answer(&self) -> bool {
        let decrement = |remaining: u32| remaining.checked_sub(1);
        let pending_losses = &self.0.pending_losses;
        pending_losses
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
            .is_ok()
    }
}

fn aborted_response() -> Response {
    let items = futures::stream::iter([Err(body::BodyAborted)]);
    streamed(200, "application/json", body::from_stream(items))
}
