//! Routes of the fake engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dandelion_net::clock::boot_now;
use dandelion_net::http::body;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::json;
use dandelion_net::http::server::streamed;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::WeightVersion;
use http_types::Request;
use http_types::Response;
use serde::Deserialize;
use serde_json::json as value;

use crate::engine::generate::Generation;
use crate::engine::state::SeenOrder;
use crate::engine::state::State;
use crate::intake::body_of;
use crate::intake::fault;
use crate::intake::header;
use crate::intake::lock;
use crate::intake::parse;

const REQUEST_ID: &str = "x-request-id";

/// Body of `POST /generate`.
#[derive(Debug, Deserialize)]
struct Generate {
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    request_id: Option<String>,
}

/// Body of `POST /cancel`.
#[derive(Debug, Deserialize)]
struct Cancel {
    request_id: String,
}

/// Body of `POST /orders`.
#[derive(Debug, Deserialize)]
struct EngineOrder {
    kind: String,
    version: WeightVersion,
    term: Term,
}

/// Handles an engine's requests.
#[derive(Debug, Clone)]
pub struct EngineHandler(pub Arc<State>);

impl Handler for EngineHandler {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let body = body_of(&mut request).await;
        self.0.seen.add(&request, &body);
        let id = header(&request, REQUEST_ID);
        let mut response = match request.url().path() {
            "/generate" => self.generate(&body, &id).await,
            "/cancel" => self.cancel(&body),
            "/orders" => self.order(&body),
            "/status" | "/healthz" => self.status(),
            _ => fault(404, "no such path"),
        };
        if !id.is_empty() {
            response.insert_header(REQUEST_ID, id);
        }
        response
    }
}

impl EngineHandler {
    async fn generate(&self, body: &[u8], header_id: &str) -> Response {
        let ask: Generate = match parse(body) {
            Ok(ask) => ask,
            Err(refused) => return *refused,
        };
        let state = &self.0;
        if ask.resume_from > 0 && !state.config.resumes {
            return fault(400, "streams can't be resumed here");
        }
        let place = state.place().await;
        let id = ask.request_id.unwrap_or_else(|| header_id.to_owned());
        *lock(&state.runs).entry(id.clone()).or_default() += 1;
        let poison = state.config.poison.as_deref();
        if poison.is_some_and(|text| ask.prompt.contains(text)) {
            state.die();
            return std::future::pending().await;
        }
        let cancel = place.cancel_by(id);
        if !state.lookup(&ask.prompt) {
            async_std::task::sleep(state.config.prefill).await;
        }
        let generation = Generation {
            place,
            prompt: ask.prompt,
            next: ask.resume_from,
            end: ask.max_tokens,
            cancel,
            first: None,
            done: false,
        };
        let events = body::from_stream(generation.events());
        streamed(200, "text/event-stream", events)
    }

    fn cancel(&self, body: &[u8]) -> Response {
        let ask: Cancel = match parse(body) {
            Ok(ask) => ask,
            Err(refused) => return *refused,
        };
        let cancelled = self.0.cancel(&ask.request_id);
        json(200, &value!({ "cancelled": cancelled }))
    }

    fn order(&self, body: &[u8]) -> Response {
        let order: EngineOrder = match parse(body) {
            Ok(order) => order,
            Err(refused) => return *refused,
        };
        if order.kind == "fetch_version" {
            return json(200, &value!({ "fetched": order.version }));
        }
        if order.kind != "load_version" {
            return fault(400, "unknown kind of order");
        }
        let state = &self.0;
        let accepted = {
            let mut term = lock(&state.term);
            let old = state.config.checks_fencing && order.term < *term;
            *term = order.term.max(*term);
            !old
        };
        lock(&state.orders).push(SeenOrder {
            term: order.term,
            version: order.version,
            at: boot_now(),
            accepted,
        });
        if !accepted {
            return fault(409, "the order has an old fencing number");
        }
        async_std::task::spawn(load(Arc::clone(state), order.version));
        json(202, &value!({ "accepted": true }))
    }

    fn status(&self) -> Response {
        let state = &self.0;
        json(
            200,
            &value!({
                "version": state.loaded(),
                "running": state.running.load(Ordering::SeqCst),
                "waiting": state.waiting.load(Ordering::SeqCst),
                "counts": *lock(&state.counts),
            }),
        )
    }
}

/// Loads a version, or fails to after having acknowledged it.
async fn load(state: Arc<State>, version: WeightVersion) {
    async_std::task::sleep(state.config.load_time).await;
    let one_less = |left: u32| left.checked_sub(1);
    let order = (Ordering::SeqCst, Ordering::SeqCst);
    let fails = state.failing.fetch_update(order.0, order.1, one_less);
    if fails.is_err() {
        state.swap(version);
    }
}
