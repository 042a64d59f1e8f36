//! A weight store that limits concurrent fetches and takes a fixed time for each.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::streamed;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::headers::RETRY_AFTER;

use crate::support::error_response;

/// Configuration of a fake weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightConfig {
    /// Most concurrent fetches; further ones are refused with status 429.
    pub permits: u32,
    /// Size of the weights returned by each fetch, in bytes.
    pub size: usize,
    /// Time that each fetch takes.
    pub fetch_time: Duration,
}

#[derive(Debug)]
struct State {
    config: WeightConfig,
    running: AtomicU32,
    served: AtomicU64,
    refused: AtomicU64,
}

/// A running weight store.
#[derive(Debug)]
pub struct WeightStore {
    server: Server,
    state: Arc<State>,
}

impl WeightStore {
    /// Starts the store on a free loopback port.
    pub async fn bind(config: WeightConfig) -> io::Result<Self> {
        let state = Arc::new(State {
            config,
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        });
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = FetchHandler(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the store listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the number of fetches served.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Returns the number of fetches refused because all permits were in use.
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::SeqCst)
    }
}

#[derive(Debug, Clone)]
struct FetchHandler(Arc<State>);

/// Releases a fetch's permit on drop.
struct FetchGuard<'a>(&'a State);

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for FetchHandler {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let state = &self.0;
        if !request.url().path().starts_with("/weights/") {
            return error_response(404, "no such path");
        }
        let before = state.running.fetch_add(1, Ordering::SeqCst);
        let _guard = FetchGuard(state);
        if before >= state.config.permits {
            state.refused.fetch_add(1, Ordering::SeqCst);
            let mut refused = error_response(429, "too many fetches at a time");
            refused.insert_header(RETRY_AFTER, "1");
            return refused;
        }
        async_std::task::sleep(state.config.fetch_time).await;
        state.served.fetch_add(1, Ordering::SeqCst);
        let weights = vec![0; state.config.size];
        streamed(200, "application/octet-stream", Body::from_bytes(weights))
    }
}
