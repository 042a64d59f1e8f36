//! Upstreams that send an answer a second time, late, on a connection that is in use again.

use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_fakes::raw::RawServer;
use dandelion_fakes::raw::Step;
use dandelion_fakes::raw::with_id;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::mesh::Header;

async fn fetch(client: &Client, server: &RawServer, id: Option<&str>) -> Result<String, SendError> {
    let address = server.local_addr();
    let headers: Vec<Header> = id
        .map(|id| Header {
            name: "x-request-id".to_owned(),
            value: id.to_owned(),
        })
        .into_iter()
        .collect();
    let request = request(address, "POST", "/x", &headers, b"{}".to_vec()).unwrap();
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(20),
        progress: Duration::from_secs(10),
        idempotent: false,
        probe: false,
    };
    let mut exchange = client.send(address, request, &options).await?;
    let body = exchange.read_all(1 << 20).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn write(id: &str, body: &str) -> Vec<Step> {
    vec![Step::Write(with_id(id, body))]
}

/// The answer to an earlier run of an item was sent again before that of its next run, on the same
/// connection and with the same id, and was taken for it.
#[test]
fn earlier_run_answers() {
    block_on(async {
        let again = [with_id("item", "first run"), with_id("item", "second run")].concat();
        let scripts = vec![
            write("item", "first run"),
            write("other", "between"),
            vec![Step::Write(again)],
        ];
        let server = RawServer::bind(scripts).await.unwrap();
        let client = Client::new(ClientOptions::default());
        let first = fetch(&client, &server, Some("item")).await;
        assert_eq!(first.as_deref(), Ok("first run"));
        let other = fetch(&client, &server, Some("other")).await;
        assert_eq!((other.as_deref(), server.connections()), (Ok("between"), 1));
        let _either = fetch(&client, &server, Some("item")).await;
        assert_eq!(
            server.connections(),
            2,
            "the id came twice on one connection, so its answers can't be told apart"
        );
    });
}

/// A request without an id got the late answer to an earlier request of its connection.
#[test]
fn unnamed_request() {
    block_on(async {
        let server = RawServer::bind(vec![write("item", "a"), write("item", "a")]).await;
        let server = server.unwrap();
        let client = Client::new(ClientOptions::default());
        let first = fetch(&client, &server, Some("item")).await;
        assert_eq!(first.as_deref(), Ok("a"));
        let unnamed = fetch(&client, &server, None).await;
        assert!(
            matches!(unnamed, Err(SendError::Unknown(Cause::Crossed { .. }))),
            "{unnamed:?}"
        );
    });
}

/// What a connection has carried is bounded: it is replaced after some hundred requests.
#[test]
fn long_used() {
    block_on(async {
        let scripts = (0..600).map(|n| write(&n.to_string(), "ok")).collect();
        let server = RawServer::bind(scripts).await.unwrap();
        let client = Client::new(ClientOptions::default());
        for number in 0..600 {
            let answer = fetch(&client, &server, Some(&number.to_string())).await;
            assert_eq!(answer.as_deref(), Ok("ok"));
        }
        assert_eq!(server.connections(), 3);
    });
}

/// Upstreams that echo ids in another header are told apart by it.
#[test]
fn named_header() {
    block_on(async {
        let answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Call-Id: theirs\r\n\r\n";
        let server = RawServer::bind(vec![vec![Step::Write(answer.into())]]).await;
        let server = server.unwrap();
        let client = Client::new(ClientOptions {
            id_header: "x-call-id",
            ..ClientOptions::default()
        });
        let address = server.local_addr();
        let id = Header {
            name: "x-call-id".to_owned(),
            value: "mine".to_owned(),
        };
        let request = request(address, "POST", "/x", &[id], Vec::new()).unwrap();
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_secs(20),
            progress: Duration::from_secs(10),
            idempotent: false,
            probe: false,
        };
        let sent = client.send(address, request, &options).await;
        assert!(
            matches!(sent, Err(SendError::Unknown(Cause::Crossed { .. }))),
            "{sent:?}"
        );
    });
}
