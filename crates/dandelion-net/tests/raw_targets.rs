//! Paths and queries reach the other end byte for byte.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::target;
use http_types::Request;
use http_types::Response;

/// Answers with the target that it received.
#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let mut response = Response::new(200);
        response.set_body(target(&request));
        response
    }
}

/// A query with an apostrophe, and paths with dot segments or percent-encodings, were changed on the
/// way.
#[test]
fn targets_unchanged() {
    block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(address, Limits::default(), Echo)
            .await
            .unwrap();
        let client = Client::new(ClientOptions::default());
        for path in [
            "/",
            "/a/b",
            "/a?name=O'Hara",
            "/a/../b/./c",
            "/a/%2e%2E/b%2fc%7E~",
            "/a//b///",
            "/a?q=%27'%3c<>[]{}|^`\"",
            "/a?",
            "/a?x=1?y=2&z",
            "/a;v=1,2/@:!$&*()+=",
            "/back\\slash",
        ] {
            let to = server.local_addr();
            let request = request(to, "GET", path, &[], Vec::new()).unwrap();
            let options = SendOptions {
                deadline: Instant::now() + Duration::from_secs(20),
                progress: Duration::from_secs(10),
                idempotent: false,
                probe: false,
            };
            let mut exchange = client.send(to, request, &options).await.unwrap();
            let body = exchange.read_all(1 << 16).await.unwrap();
            assert_eq!(String::from_utf8_lossy(&body), path);
        }
    });
}
