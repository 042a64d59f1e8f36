//! Bodies that server, handler and tries share. Guards against each of them holding a copy: an entry held a
//! body of 24 MiB five times and was killed for its memory.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_net::http::SharedBody;
use dandelion_net::http::client;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::memory::ClientMemory;
use dandelion_net::http::memory::ConnectionLimits;
use dandelion_net::http::memory::Kind;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_protocol::time::Millis;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

const LENGTHS: [usize; 7] = [
    0,
    1,
    600,
    64 * 1024,
    64 * 1024 + 1,
    200_000,
    3 * 1024 * 1024 + 7,
];
const TRIES: usize = 3;

fn content(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

fn memory() -> ClientMemory {
    let limits = ConnectionLimits {
        total: 16,
        per_peer: 0,
    };
    ClientMemory::new(usize::MAX, limits)
}

/// Returns a body that has arrived and is counted in an account.
fn arrived(memory: &ClientMemory, bytes: &[u8]) -> SharedBody {
    let share = memory.body(bytes.len(), Millis::from_secs(10));
    for piece in bytes.chunks(8 * 1024) {
        share.push(piece).expect("there is room");
    }
    share.take().expect("nothing was dropped")
}

fn request() -> Request {
    Request::new(Method::Post, Url::parse("http://localhost/").unwrap())
}

#[test]
fn copies_share_bytes() {
    let memory = memory();
    let bytes = content(3 * 64 * 1024);
    let body = arrived(&memory, &bytes);
    let copy = body.clone();
    let starts = |body: &SharedBody| body.pieces().map(<[u8]>::as_ptr).collect::<Vec<_>>();
    assert_eq!(starts(&body), starts(&copy));
    let held = || memory.usage().bytes[Kind::Handled as usize];
    drop(body);
    assert!(held() >= bytes.len(), "a copy is left");
    drop(copy);
    assert_eq!(held(), 0);
}

#[test]
fn forms_agree() {
    for length in LENGTHS {
        let memory = memory();
        let bytes = content(length);
        let body = arrived(&memory, &bytes);
        assert_eq!(body.len(), length);
        assert_eq!(body.to_vec(), bytes);
        assert_eq!(body.pieces().collect::<Vec<_>>().concat(), bytes);
        let mut read = request();
        body.clone().attach(&mut read);
        assert_eq!(read.len(), Some(length));
        assert_eq!(block_on(read.body_bytes()).unwrap(), bytes);
        drop(read);
        let mut taken = request();
        body.attach(&mut taken);
        let taken = block_on(SharedBody::take(&mut taken)).unwrap();
        assert_eq!(taken.into_bytes(), bytes);
        assert_eq!(memory.usage().bytes, [0; 4]);
    }
}

/// Answers with the number of bytes if they are those of [`content`].
#[derive(Debug, Clone)]
struct Upstream;

impl Handler for Upstream {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let body = request.body_bytes().await.unwrap_or_default();
        let is_whole = body == content(body.len());
        let mut response = Response::new(if is_whole { 200 } else { 400 });
        response.set_body(body.len().to_string());
        response
    }
}

#[test]
fn sent_whole_each_time() {
    block_on(async {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let server = Server::bind(listen, Limits::default(), Upstream);
        let server = server.await.unwrap();
        let client = Client::new(ClientOptions::default());
        let limit = Duration::from_secs(20);
        for length in LENGTHS {
            let body = arrived(&memory(), &content(length));
            for _ in 0..TRIES {
                let address = server.local_addr();
                let request = client::request(address, "POST", "/", &[], body.clone()).unwrap();
                let options = SendOptions {
                    deadline: Instant::now() + limit,
                    progress: limit,
                    idempotent: false,
                    probe: false,
                };
                let mut exchange = client.send(address, request, &options).await.unwrap();
                let text = exchange.read_all(64).await.unwrap();
                assert_eq!(exchange.status(), 200);
                assert_eq!(text, length.to_string().into_bytes());
            }
        }
    });
}
