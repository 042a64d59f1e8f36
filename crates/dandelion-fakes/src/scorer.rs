//! A scoring service whose score is a hash of the request body.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::json;
use http_types::Request;
use http_types::Response;
use serde_json::json as value;

use crate::support::error_response;
use crate::support::read_body;

/// A running scorer: `POST /score` answers `{"score": ...}` with the [`score`] of the body.
#[derive(Debug)]
pub struct Scorer {
    server: Server,
    scored: Arc<AtomicU64>,
}

impl Scorer {
    /// Starts the scorer on a free loopback port.
    pub async fn bind() -> io::Result<Self> {
        let scored = Arc::new(AtomicU64::new(0));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = ScoreHandler(Arc::clone(&scored));
        let server = Server::bind(listen, Limits::default(), handler).await?;
        Ok(Self { server, scored })
    }

    /// Returns the address that the scorer listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Returns the number of bodies scored so far.
    pub fn scored(&self) -> u64 {
        self.scored.load(Ordering::SeqCst)
    }
}

/// Returns the score of a request body: at least 0, below 1, in steps of 0.001.
pub fn score(body: &[u8]) -> f64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    (hasher.finish() % 1000) as f64 / 1000.0
}

#[derive(Debug, Clone)]
struct ScoreHandler(Arc<AtomicU64>);

impl Handler for ScoreHandler {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        if request.url().path() != "/score" {
            return error_response(404, "no such path");
        }
        let body = read_body(&mut request).await;
        self.0.fetch_add(1, Ordering::SeqCst);
        json(200, &value!({ "score": score(&body) }))
    }
}
