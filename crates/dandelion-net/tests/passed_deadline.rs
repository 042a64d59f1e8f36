//! A request whose deadline has passed is not written, also on a pooled connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use async_std::task::sleep;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use http_types::Request;
use http_types::Response;

/// Time in which a request that was written would have been received.
const WATCH_TIME: Duration = Duration::from_millis(200);

#[derive(Clone)]
struct CountRequests(Arc<AtomicU32>);

impl Handler for CountRequests {
    async fn handle(&self, _request: Request, _peer: SocketAddr) -> Response {
        self.0.fetch_add(1, Ordering::SeqCst);
        Response::new(200)
    }
}

fn options(deadline: Instant) -> SendOptions {
    SendOptions {
        deadline,
        progress: Duration::from_secs(5),
        idempotent: true,
        probe: true,
    }
}

#[test]
fn nothing_written() {
    block_on(async {
        let received = Arc::new(AtomicU32::new(0));
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(
            listen,
            Limits::default(),
            CountRequests(Arc::clone(&received)),
        );
        let server = server.await.expect("a free port");
        let to = server.local_addr();
        let client = Client::new(ClientOptions::default());
        let post = || request(to, "POST", "/orders", &[], Vec::new()).expect("a valid request");
        let later = options(Instant::now() + Duration::from_secs(5));
        let mut answer = client.send(to, post(), &later).await.expect("an answer");
        answer.read_all(1024).await.expect("a complete answer");
        drop(answer);
        assert_eq!(client.idle_count(to), 1, "the connection is pooled");
        let late = client.send(to, post(), &options(Instant::now())).await;
        sleep(WATCH_TIME).await;
        assert!(matches!(late, Err(SendError::NotSent(Cause::Deadline))));
        assert_eq!(
            received.load(Ordering::SeqCst),
            1,
            "the late request was received"
        );
    });
}
