//! Answers to callers: cancelled with the caller, reset when they fail, finished during a drain.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;
use async_std::task::block_on;
use async_std::task::sleep;
use dandelion_net::http::body;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::streamed;
use http_types::Request;
use http_types::Response;

/// Time after which a waiting test fails.
const LIMIT: Duration = Duration::from_secs(10);
/// Connection limit of the server under test.
const CONNECTIONS: usize = 20;

/// Notifies the test when the work of a request is dropped.
struct Dropped(Sender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _gone = self.0.try_send(());
    }
}

/// `/wait` never answers, `/stream` streams without end, `/flood` does so without pauses, `/break`
/// aborts its answer midway, `/hostile` sets headers that would break the framing, `/panic` panics,
/// `/slow` takes 150 ms and `/quick` answers immediately.
#[derive(Clone)]
struct Paths {
    dropped: Sender<()>,
    started: Sender<()>,
}

impl Handler for Paths {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let guard = Dropped(self.dropped.clone());
        let _gone = self.started.try_send(());
        match request.url().path() {
            "/wait" => std::future::pending().await,
            "/stream" => streamed(200, "text/plain", body::from_stream(endless(guard))),
            "/flood" => streamed(200, "text/plain", body::from_stream(flood(guard))),
            "/break" => {
                let (sender, body) = body::channel(4);
                sender.send(b"half".to_vec()).await.expect("room");
                streamed(200, "text/plain", body)
            }
            "/hostile" => {
                let mut response = Response::new(200);
                response.insert_header("transfer-encoding", "chunked");
                response.insert_header("x-split", "a\r\n\r\nHTTP/1.1 200 OK");
                response.insert_header("x-good", "yes");
                response.set_body("good");
                response
            }
            "/panic" => panic!("requested by the test"),
            "/slow" => {
                sleep(Duration::from_millis(150)).await;
                Response::new(200)
            }
            _ => Response::new(200),
        }
    }
}

fn endless(
    guard: Dropped,
) -> impl futures::Stream<Item = Result<Vec<u8>, body::BodyAborted>> + Send + 'static {
    futures::stream::unfold(guard, |guard| async {
        sleep(Duration::from_millis(5)).await;
        Some((Ok(b"tick".to_vec()), guard))
    })
}

fn flood(
    guard: Dropped,
) -> impl futures::Stream<Item = Result<Vec<u8>, body::BodyAborted>> + Send + 'static {
    futures::stream::unfold(guard, |guard| async {
        Some((Ok(vec![7; 64 * 1024]), guard))
    })
}

struct TestServer {
    server: Server,
    client: Client,
    dropped: Receiver<()>,
    started: Receiver<()>,
}

impl TestServer {
    /// Waits until the work of one request is dropped.
    async fn dropped(&self) {
        let dropped = timeout(LIMIT, self.dropped.recv()).await;
        dropped.expect("it is dropped").expect("the server runs");
    }
}

async fn setup() -> TestServer {
    let (dropped, drops) = async_channel::unbounded();
    let (started, starts) = async_channel::unbounded();
    let limits = Limits {
        drain_idle: Duration::from_millis(100),
        connections: CONNECTIONS,
        write_time: Duration::from_millis(300),
        ..Limits::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(address, limits, Paths { dropped, started }).await;
    TestServer {
        server: server.expect("loopback port"),
        client: Client::new(ClientOptions::default()),
        dropped: drops,
        started: starts,
    }
}

async fn open(client: &Client, address: SocketAddr, path: &str) -> Result<Exchange, SendError> {
    let request = request(address, "GET", path, &[], Vec::new()).expect("valid request");
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(20),
        progress: Duration::from_secs(20),
        idempotent: false,
        probe: true,
    };
    client.send(address, request, &options).await
}

#[test]
fn caller_gone() {
    block_on(async {
        let setup = setup().await;
        let address = setup.server.local_addr();
        let waiting = async_std::task::spawn(async move {
            let client = Client::new(ClientOptions::default());
            open(&client, address, "/wait").await
        });
        setup.started.recv().await.expect("the handler runs");
        assert!(setup.dropped.is_empty());
        waiting.cancel().await;
        setup.dropped().await;
    });
}

#[test]
fn stream_dropped() {
    block_on(async {
        let setup = setup().await;
        let mut exchange = open(&setup.client, setup.server.local_addr(), "/stream").await;
        let exchange = exchange.as_mut().expect("a head");
        for _ in 0..3 {
            let piece = exchange.chunk().await.expect("a piece");
            assert_eq!(piece.as_deref(), Some(b"tick".as_slice()));
        }
        assert!(setup.dropped.is_empty());
        let cancelled = std::mem::replace(
            exchange,
            open(&setup.client, setup.server.local_addr(), "/quick")
                .await
                .expect("a head"),
        );
        drop(cancelled);
        // One drop belongs to the quick request, the other to the stream.
        setup.dropped().await;
        setup.dropped().await;
    });
}

#[test]
fn stalled_caller() {
    // A caller that keeps its connection open but reads nothing is disconnected after `write_time`.
    block_on(async {
        let setup = setup().await;
        let held = open(&setup.client, setup.server.local_addr(), "/flood").await;
        let mut held = held.expect("a head");
        setup.dropped().await;
        let rest = held.read_all(1 << 30).await;
        assert!(
            matches!(rest, Err(SendError::Unknown(Cause::Closed(_)))),
            "{rest:?}"
        );
    });
}

#[test]
fn broken_resets() {
    block_on(async {
        let setup = setup().await;
        let mut exchange = open(&setup.client, setup.server.local_addr(), "/break")
            .await
            .expect("a head");
        let result = exchange.read_all(100).await;
        assert!(
            matches!(result, Err(SendError::Unknown(Cause::Closed(_)))),
            "{result:?}"
        );
    });
}

#[test]
fn drain_finishes() {
    block_on(async {
        let setup = setup().await;
        let address = setup.server.local_addr();
        let mut first = open(&setup.client, address, "/quick")
            .await
            .expect("a head");
        first.read_all(100).await.expect("whole");
        assert_eq!(
            (first.header("connection"), setup.client.idle_count(address)),
            (None, 1)
        );

        let client = setup.client.clone();
        let slow = async_std::task::spawn(async move { open(&client, address, "/slow").await });
        setup.started.recv().await.expect("the quick handler ran");
        setup.started.recv().await.expect("the slow handler runs");
        setup.server.begin_drain();
        let mut during = open(&setup.client, address, "/quick")
            .await
            .expect("still served");
        during.read_all(100).await.expect("whole");
        assert_eq!(during.header("connection"), Some("close"));
        assert_eq!(setup.server.shutdown(Duration::from_secs(20)).await, 0);
        let mut slow = slow.await.expect("a head");
        assert_eq!(
            (slow.status(), slow.header("connection")),
            (200, Some("close"))
        );
        slow.read_all(100).await.expect("whole");
        assert!(!setup.client.probe(address).await);
    });
}

#[test]
fn headers_sanitized() {
    block_on(async {
        let setup = setup().await;
        let address = setup.server.local_addr();
        let mut answer = open(&setup.client, address, "/hostile")
            .await
            .expect("a head");
        assert_eq!(
            answer.read_all(100).await.as_deref(),
            Ok(b"good".as_slice())
        );
        assert_eq!(
            (answer.header("x-split"), answer.header("x-good")),
            (None, Some("yes"))
        );
        assert_eq!(setup.client.idle_count(address), 1);
    });
}

#[test]
fn panic_contained() {
    block_on(async {
        let setup = setup().await;
        let address = setup.server.local_addr();
        for _ in 0..3 {
            let sent = open(&setup.client, address, "/panic").await;
            assert!(
                matches!(sent, Err(SendError::Unknown(Cause::Closed(_)))),
                "{sent:?}"
            );
            let quick = open(&setup.client, address, "/quick").await;
            assert_eq!(quick.expect("still served").status(), 200);
        }
    });
}

#[test]
fn connections_bounded() {
    block_on(async {
        let setup = setup().await;
        let address = setup.server.local_addr();
        let mut held = Vec::new();
        for _ in 0..CONNECTIONS {
            let client = Client::new(ClientOptions::default());
            held.push(open(&client, address, "/stream").await.expect("a head"));
        }
        let client = Client::new(ClientOptions::default());
        let mut refused = open(&client, address, "/quick").await.expect("an answer");
        assert_eq!(
            (refused.status(), refused.header("retry-after")),
            (503, Some("1"))
        );
        let body = refused.read_all(1000).await.expect("whole");
        let text = String::from_utf8(body).expect("text");
        assert!(text.contains("\"ran\":\"not_run\""), "{text}");
        held.clear();
        while open(&client, address, "/quick")
            .await
            .is_ok_and(|e| e.status() == 503)
        {
            sleep(Duration::from_millis(5)).await;
        }
        let after = open(&client, address, "/quick")
            .await
            .expect("served again");
        assert_eq!(after.status(), 200);
    });
}

#[test]
fn shutdown_aborts() {
    block_on(async {
        let setup = setup().await;
        let mut exchange = open(&setup.client, setup.server.local_addr(), "/stream")
            .await
            .expect("a head");
        assert_eq!(setup.server.shutdown(Duration::from_millis(50)).await, 1);
        let result = exchange.read_all(1 << 20).await;
        assert!(
            matches!(result, Err(SendError::Unknown(Cause::Closed(_)))),
            "{result:?}"
        );
    });
}
