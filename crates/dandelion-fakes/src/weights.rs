//! A weight store that serves a bounded number of fetches at a time at a bounded rate.

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

use crate::intake::fault;

/// How a fake weight store behaves.
#[derive(Debug, Clone, Copy)]
pub struct WeightConfig {
    /// Fetches served at a time; further ones are refused.
    pub permits: u32,
    /// Size of the weights, in bytes.
    pub size: usize,
    /// Time for one fetch.
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
        let handler = Shelf(Arc::clone(&state));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the store listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Counts the fetches served.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Counts the fetches refused for want of a permit.
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::SeqCst)
    }
}

#[derive(Debug, Clone)]
struct Shelf(Arc<State>);

/// A fetch under way, counted until it is dropped.
struct Fetch<'a>(&'a State);

impl Drop for Fetch<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Shelf {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let state = &self.0;
        if !request.url().path().starts_with("/weights/") {
            return fault(404, "no such path");
        }
        let before = state.running.fetch_add(1, Ordering::SeqCst);
        let _fetch = Fetch(state);
        if before >= state.config.permits {
            state.refused.fetch_add(1, Ordering::SeqCst);
            let mut refused = fault(429, "too many fetches at a time");
            refused.insert_header(RETRY_AFTER, "1");
            return refused;
        }
        async_std::task::sleep(state.config.fetch_time).await;
        state.served.fetch_add(1, Ordering::SeqCst);
        let weights = vec![0; state.config.size];
        streamed(200, "application/octet-stream", Body::from_bytes(weights))
    }
}
