//! Paths and queries reach the other end byte for byte, and headers in all their lines.

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
use dandelion_protocol::mesh::Header;
use http_types::Request;
use http_types::Response;
use http_types::headers::HeaderValue;

/// Answers with the target that it received, or with the values of a header if the request has it.
#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request, _peer: SocketAddr) -> Response {
        let mut response = Response::new(200);
        let values = request.header("x-part").map(|values| {
            let values: Vec<&str> = values.iter().map(HeaderValue::as_str).collect();
            values.join("|")
        });
        response.set_body(values.unwrap_or_else(|| target(&request)));
        response
    }
}

async fn fetch(client: &Client, server: &Server, path: &str, headers: &[Header]) -> String {
    let to = server.local_addr();
    let request = request(to, "GET", path, headers, Vec::new()).unwrap();
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(20),
        progress: Duration::from_secs(10),
        idempotent: false,
        probe: false,
    };
    let mut exchange = client.send(to, request, &options).await.unwrap();
    let body = exchange.read_all(1 << 16).await.unwrap();
    String::from_utf8_lossy(&body).into_owned()
}

async fn start() -> (Server, Client) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(address, Limits::default(), Echo).await;
    (server.unwrap(), Client::new(ClientOptions::default()))
}

/// All lines of a header but the last one were dropped on the way.
#[test]
fn header_lines_kept() {
    block_on(async {
        let (server, client) = start().await;
        let headers = ["one", "two", "three"].map(|value| Header {
            name: "x-part".to_owned(),
            value: value.to_owned(),
        });
        let values = fetch(&client, &server, "/", &headers).await;
        assert_eq!(values, "one|two|three");
    });
}

/// A query with an apostrophe, and paths with dot segments or percent-encodings, were changed on the
/// way.
#[test]
fn targets_unchanged() {
    block_on(async {
        let (server, client) = start().await;
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
            assert_eq!(fetch(&client, &server, path, &[]).await, path);
        }
    });
}
