//! HTTP routes of the fake engine.

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
use crate::engine::state::ReceivedOrder;
use crate::engine::state::State;
use crate::support::error_response;
use crate::support::header;
use crate::support::lock;
use crate::support::parse;
use crate::support::read_body;

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

/// HTTP handler of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineHandler(pub Arc<State>);

impl Handler for EngineHandler {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let body = read_body(&mut request).await;
        self.0.requests.add(&request, &body);
        let id = header(&request, REQUEST_ID);
        let mut response = match request.url().path() {
            "/generate" => self.generate(&body, &id).await,
            "/cancel" => self.cancel(&body),
            "/orders" => self.order(&body),
            "/status" | "/healthz" => self.status(),
            _ => error_response(404, "no such path"),
        };
        if !id.is_empty() {
            response.insert_header(REQUEST_ID, id);
        }
        response
    }
}

impl EngineHandler {
    async fn generate(&self, body: &[u8], header_id: &str) -> Response {
        let request: Generate = match parse(body) {
            Ok(request) => request,
            Err(refused) => return *refused,
        };
        let state = &self.0;
        if request.resume_from > 0 && !state.config.resumes {
            return error_response(400, "streams can't be resumed here");
        }
        let slot = state.acquire_slot().await;
        let id = request.request_id.unwrap_or_else(|| header_id.to_owned());
        *lock(&state.runs).entry(id.clone()).or_default() += 1;
        let poison = state.config.poison.as_deref();
        if poison.is_some_and(|text| request.prompt.contains(text)) {
            state.crash();
            return std::future::pending().await;
        }
        let cancel = slot.register_cancel(id);
        if !state.lookup(&request.prompt) {
            async_std::task::sleep(state.config.prefill).await;
        }
        let generation = Generation {
            slot,
            prompt: request.prompt,
            next: request.resume_from,
            end: request.max_tokens,
            cancel,
            first_version: None,
            done: false,
        };
        let events = body::from_stream(generation.events());
        streamed(200, "text/event-stream", events)
    }

    fn cancel(&self, body: &[u8]) -> Response {
        let request: Cancel = match parse(body) {
            Ok(request) => request,
            Err(refused) => return *refused,
        };
        let cancelled = self.0.cancel(&request.request_id);
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
            return error_response(400, "unknown kind of order");
        }
        let state = &self.0;
        let accepted = {
            let mut term = lock(&state.term);
            let outdated = state.config.checks_fencing && order.term < *term;
            *term = order.term.max(*term);
            !outdated
        };
        lock(&state.orders).push(ReceivedOrder {
            term: order.term,
            version: order.version,
            at: boot_now(),
            accepted,
        });
        if !accepted {
            return error_response(409, "the order has an old fencing number");
        }
        async_std::task::spawn(load(Arc::clone(state), order.version));
        json(202, &value!({ "accepted": true }))
    }

    fn status(&self) -> Response {
        let state = &self.0;
        json(
            200,
            &value!({
                "version": state.loaded_version(),
                "running": state.running.load(Ordering::SeqCst),
                "waiting": state.waiting.load(Ordering::SeqCst),
                "counts": *lock(&state.counts),
            }),
        )
    }
}

/// Swaps to `version` after the load time, unless the load is set to fail.
async fn load(state: Arc<State>, version: WeightVersion) {
    async_std::task::sleep(state.config.load_time).await;
    let decrement = |remaining: u32| remaining.checked_sub(1);
    let order = (Ordering::SeqCst, Ordering::SeqCst);
    let fails = state
        .failing_loads
        .fetch_update(order.0, order.1, decrement);
    if fails.is_err() {
        state.swap(version);
    }
}
