//! Bytes that never end, in the head or the body of an answer, are given up within fixed limits of
//! memory and are not requested again.

use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_fakes::raw::RawServer;
use dandelion_fakes::raw::Step;
use dandelion_fakes::raw::with_length;
use dandelion_net::http::HeadError;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;

const LIMIT: usize = 256 * 1024;

async fn fetch(client: &Client, server: &RawServer) -> Result<usize, SendError> {
    let request = request(server.local_addr(), "GET", "/x", &[], Vec::new()).unwrap();
    let options = SendOptions {
        deadline: Instant::now() + Duration::from_secs(20),
        progress: Duration::from_secs(10),
        idempotent: true,
        probe: true,
    };
    let mut exchange = client.send(server.local_addr(), request, &options).await?;
    exchange.read_all(LIMIT).await.map(|body| body.len())
}

/// Fetches twice on one connection: a short answer, then one of `script`. Returns the second result
/// and the number of requests that the server received.
fn run(script: Vec<Step>) -> (Result<usize, SendError>, usize) {
    block_on(async {
        let short = vec![Step::Write(with_length(4, "good"))];
        let server = RawServer::bind(vec![short, script]).await.unwrap();
        let client = Client::new(ClientOptions::default());
        assert_eq!(fetch(&client, &server).await, Ok(4));
        let result = fetch(&client, &server).await;
        assert_eq!(client.idle_count(server.local_addr()), 0);
        (result, server.requests())
    })
}

#[test]
fn endless_head_not_resent() {
    for bytes in [&b"x"[..], b"x-filler: y\r\n", b"\n"] {
        let (result, requests) = run(vec![
            Step::Write(b"HTTP/1.1 200 OK\r\n".to_vec()),
            Step::Repeat(bytes.to_vec()),
        ]);
        let Err(SendError::Unknown(Cause::Head(error))) = result else {
            panic!("{result:?}");
        };
        assert_eq!(error, HeadError::TooLong);
        assert_eq!(requests, 2, "an answer without end was requested again");
    }
}

#[test]
fn endless_body_given_up() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(4096));
    let counted = "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n";
    for (head, piece) in [(head, chunk.as_str()), (counted, "x")] {
        let (result, requests) = run(vec![
            Step::Write(head.as_bytes().to_vec()),
            Step::Repeat(piece.as_bytes().to_vec()),
        ]);
        let Err(SendError::Unknown(Cause::Body(_))) = result else {
            panic!("{result:?}");
        };
        assert_eq!(requests, 2, "an answer without end was requested again");
    }
}

/// Every other place where bytes may come without end is bounded, too.
#[test]
fn endless_framing_given_up() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let with_body = format!("{chunked}4\r\ngood\r\n");
    let with_last = format!("{with_body}0\r\n");
    for (start, piece) in [
        ("", "x"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.0 200 OK\r\n\r\n", "x"),
        (chunked, "0"),
        (chunked, "4;x"),
        (&with_body, "x"),
        (&with_last, "x"),
        (&with_last, "x: y\r\n"),
    ] {
        let (result, requests) = run(vec![
            Step::Write(start.as_bytes().to_vec()),
            Step::Repeat(piece.as_bytes().to_vec()),
        ]);
        assert!(
            matches!(result, Err(SendError::Unknown(_))),
            "{start:?} {piece:?}: {result:?}"
        );
        assert_eq!(requests, 2, "an answer without end was requested again");
    }
}

/// Bytes without end after an answer are not read: the answer is whole, and its connection is dropped.
#[test]
fn endless_surplus_unread() {
    block_on(async {
        let flooded = vec![
            Step::Write(with_length(4, "good")),
            Step::Repeat(b"x".to_vec()),
        ];
        let next = vec![Step::Write(with_length(4, "next"))];
        let server = RawServer::bind(vec![flooded, next]).await.unwrap();
        let client = Client::new(ClientOptions::default());
        assert_eq!(fetch(&client, &server).await, Ok(4));
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert_eq!(fetch(&client, &server).await, Ok(4));
        assert_eq!(server.connections(), 2);
    });
}

#[test]
fn announced_length_refused_unread() {
    let (result, _) = run(vec![Step::Write(with_length(LIMIT + 1, "")), Step::Hang]);
    let Err(SendError::Unknown(Cause::Body(_))) = result else {
        panic!("{result:?}");
    };
}
