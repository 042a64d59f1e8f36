//! A process that is replaced by another one at its address.

use std::io::ErrorKind;
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
use dandelion_net::http::client::Peer;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use http_types::Request;
use http_types::Response;

const QUESTION_PATH: &str = "/who";

/// Answers who it is, and counts all other requests.
#[derive(Clone)]
struct Process {
    key: u64,
    received: Arc<AtomicU32>,
}

impl Handler for Process {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let mut response = Response::new(200);
        if request.url().path() == QUESTION_PATH {
            response.set_body(self.key.to_string());
        } else {
            self.received.fetch_add(1, Ordering::SeqCst);
        }
        response
    }
}

struct Expected {
    address: SocketAddr,
    key: u64,
}

impl Peer for Expected {
    fn key(&self) -> Option<u64> {
        Some(self.key)
    }

    fn question(&self) -> Option<Request> {
        request(self.address, "GET", QUESTION_PATH, &[], Vec::new()).ok()
    }

    fn is_answer(&self, status: u16, body: &[u8]) -> bool {
        status == 200 && body == self.key.to_string().as_bytes()
    }
}

async fn start(address: SocketAddr, process: &Process) -> Server {
    loop {
        match Server::bind(address, Limits::default(), process.clone()).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                sleep(Duration::from_millis(5)).await;
            }
            bound => return bound.expect("a free port"),
        }
    }
}

#[test]
fn request_reaches_successor() {
    block_on(async {
        let process = |key| Process {
            key,
            received: Arc::default(),
        };
        let (former, successor) = (process(1), process(2));
        let server = start(SocketAddr::from(([127, 0, 0, 1], 0)), &former).await;
        let address = server.local_addr();
        let client = Client::new(ClientOptions::default());
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_secs(20),
            progress: Duration::from_secs(5),
            idempotent: true,
            probe: false,
        };
        let send = async |key| {
            let post = request(address, "POST", "/", &[], Vec::new()).expect("a valid request");
            let peer = Expected { address, key };
            let mut answer = client
                .send_to(address, post, &options, &peer, || true)
                .await?;
            answer.read_all(1024).await
        };
        send(1).await.expect("an answer");
        send(1).await.expect("an answer on the same connection");
        assert_eq!(client.idle_count(address), 1);
        drop(server);
        let _server = start(address, &successor).await;
        let replaced = send(1).await;
        assert!(
            matches!(replaced, Err(SendError::NotSent(Cause::OtherPeer))),
            "{replaced:?}"
        );
        assert_eq!(successor.received.load(Ordering::SeqCst), 0);
        send(2).await.expect("an answer of the successor");
        assert_eq!(former.received.load(Ordering::SeqCst), 2);
    });
}
