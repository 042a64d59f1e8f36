//! Answers of misbehaving upstreams: never accepted as complete, and never left over on a pooled
//! connection.

use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_fakes::raw::RawServer;
use dandelion_fakes::raw::Step;
use dandelion_fakes::raw::chunked;
use dandelion_fakes::raw::with_id;
use dandelion_fakes::raw::with_length;
use dandelion_net::http::HeadError;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::mesh::Header;
use futures::FutureExt;

const LAST_CHUNK: &str = "0\r\n\r\n";

fn options(idempotent: bool) -> SendOptions {
    SendOptions {
        deadline: Instant::now() + Duration::from_secs(20),
        progress: Duration::from_millis(400),
        idempotent,
        probe: true,
    }
}

async fn fetch(client: &Client, server: &RawServer, idempotent: bool) -> Result<String, SendError> {
    fetch_as("mine", client, server, idempotent).await
}

/// Fetches under an id of its own: no id goes over one connection twice.
async fn fetch_as(
    id: &str,
    client: &Client,
    server: &RawServer,
    idempotent: bool,
) -> Result<String, SendError> {
    let address = server.local_addr();
    let id = Header {
        name: "x-request-id".to_owned(),
        value: id.to_owned(),
    };
    let request = request(address, "POST", "/x", &[id], b"{}".to_vec()).expect("valid request");
    let mut exchange = client.send(address, request, &options(idempotent)).await?;
    let body = exchange.read_all(1 << 20).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Runs one script against a fresh client; returns the result and the number of idle connections.
fn run(script: Vec<Step>) -> (Result<String, SendError>, usize) {
    block_on(async {
        let server = RawServer::bind(vec![script]).await.expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let result = fetch(&client, &server, false).await;
        (result, client.idle_count(server.local_addr()))
    })
}

fn unknown_cause(script: Vec<Step>) -> Cause {
    let (result, idle) = run(script);
    assert_eq!(idle, 0, "a failed connection was pooled");
    match result {
        Err(SendError::Unknown(cause)) => cause,
        other => panic!("expected an unknown outcome, got {other:?}"),
    }
}

#[test]
fn complete_reused() {
    for bytes in [
        with_length(4, "good"),
        chunked(&["go", "od"], LAST_CHUNK),
        with_id("mine", "good"),
    ] {
        let (result, idle) = run(vec![Step::Write(bytes)]);
        assert_eq!((result, idle), (Ok("good".to_owned()), 1));
    }
}

#[test]
fn trickled_complete() {
    let pause = Duration::from_millis(1);
    let (result, idle) = run(vec![Step::Trickle(
        chunked(&["go", "od"], LAST_CHUNK),
        pause,
    )]);
    assert_eq!((result, idle), (Ok("good".to_owned()), 1));
}

#[test]
fn trailers_counted() {
    let bytes = chunked(&["good"], "0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n");
    let (result, idle) = run(vec![Step::Write(bytes)]);
    assert_eq!((result, idle), (Ok("good".to_owned()), 1));
}

#[test]
fn counted_truncated() {
    for body in ["goo", ""] {
        let cause = unknown_cause(vec![Step::Write(with_length(4, body)), Step::Close]);
        assert!(matches!(cause, Cause::Closed(_)), "{cause:?}");
    }
}

#[test]
fn chunked_truncated() {
    for last in ["", "0\r\n", "5\r\nab", "0\r\nX: y\r\n"] {
        let cause = unknown_cause(vec![Step::Write(chunked(&["good"], last)), Step::Close]);
        assert!(matches!(cause, Cause::Closed(_)), "{last:?}: {cause:?}");
    }
}

#[test]
fn chunks_broken() {
    for last in ["zz\r\n", "\r\n\r\n", "ffffffffffffffffff\r\n", "4;\n"] {
        let cause = unknown_cause(vec![Step::Write(chunked(&["good"], last)), Step::Hang]);
        assert!(matches!(cause, Cause::Body(_)), "{last:?}: {cause:?}");
    }
}

#[test]
fn head_truncated() {
    let cause = unknown_cause(vec![
        Step::Write(b"HTTP/1.1 200 OK\r\nConte".to_vec()),
        Step::Reset,
    ]);
    assert!(matches!(cause, Cause::Closed(_)), "{cause:?}");
    let cause = unknown_cause(vec![Step::Close]);
    assert!(matches!(cause, Cause::Closed(_)), "{cause:?}");
}

#[test]
fn ambiguous_framing() {
    let cases = [
        ("", HeadError::Unframed),
        (
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            HeadError::BothFramings,
        ),
        (
            "Content-Length: 4\r\nContent-Length: 4\r\n",
            HeadError::Repeated("content-length"),
        ),
        ("Content-Length: +4\r\n", HeadError::BadLength),
        (
            "Transfer-Encoding: gzip, chunked\r\n",
            HeadError::BadEncoding,
        ),
    ];
    for (headers, expected) in cases {
        let bytes = format!("HTTP/1.1 200 OK\r\n{headers}\r\ngood").into_bytes();
        assert_eq!(
            unknown_cause(vec![Step::Write(bytes), Step::Close]),
            Cause::Head(expected)
        );
    }
}

#[test]
fn surplus_dropped() {
    for complete in [with_length(4, "good"), chunked(&["good"], LAST_CHUNK)] {
        for surplus in ["x", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"] {
            let mut bytes = complete.clone();
            bytes.extend_from_slice(surplus.as_bytes());
            let (result, idle) = run(vec![Step::Write(bytes)]);
            assert_eq!((result, idle), (Ok("good".to_owned()), 0));
        }
    }
}

#[test]
fn late_surplus() {
    // The second answer arrives after the connection was returned to the pool.
    block_on(async {
        let late = vec![
            Step::Write(with_length(4, "good")),
            Step::Pause(Duration::from_millis(20)),
            Step::Write(with_length(3, "bad")),
        ];
        let server = RawServer::bind(vec![late, vec![Step::Write(with_length(4, "next"))]]).await;
        let server = server.expect("loopback port");
        let client = Client::new(ClientOptions::default());
        assert_eq!(fetch(&client, &server, false).await.as_deref(), Ok("good"));
        while client.idle_count(server.local_addr()) == 0 {
            async_std::task::yield_now().await;
        }
        async_std::task::sleep(Duration::from_millis(200)).await;
        assert_eq!(fetch(&client, &server, false).await.as_deref(), Ok("next"));
        assert_eq!(server.connections(), 2);
    });
}

#[test]
fn crossed_ids() {
    let cause = unknown_cause(vec![Step::Write(with_id("other", "bad"))]);
    let expected = Cause::Crossed {
        sent: "mine".to_owned(),
        got: "other".to_owned(),
    };
    assert_eq!(cause, expected);
}

#[test]
fn timeout_drops() {
    // The late answer of the first request must not become that of the second.
    block_on(async {
        let late = vec![
            Step::Pause(Duration::from_millis(700)),
            Step::Write(with_length(4, "late")),
        ];
        let server = RawServer::bind(vec![late, vec![Step::Write(with_length(4, "next"))]]).await;
        let server = server.expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let first = fetch(&client, &server, false).await;
        assert_eq!(
            first,
            Err(SendError::Unknown(Cause::Silent { alive: true }))
        );
        assert_eq!(fetch(&client, &server, false).await.as_deref(), Ok("next"));
    });
}

#[test]
fn cancel_drops() {
    block_on(async {
        let half = vec![Step::Write(with_length(8, "half")), Step::Hang];
        let server = RawServer::bind(vec![half]).await.expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let address = server.local_addr();
        let request = request(address, "GET", "/x", &[], Vec::new()).expect("valid request");
        let sent = client.send(address, request, &options(false)).await;
        drop(sent.expect("a head"));
        assert_eq!(client.idle_count(address), 0);
    });
}

#[test]
fn hostile_headers() {
    let address = "127.0.0.1:1".parse().expect("an address");
    for (name, value) in [
        ("Transfer-Encoding", "chunked"),
        ("content-length", "4"),
        ("connection", "close"),
        ("x-a", "b\r\nx-c: d"),
        ("x-a", "b\0"),
        ("x-a: b\r\nx-c", "d"),
        ("", "d"),
    ] {
        let header = Header {
            name: name.to_owned(),
            value: value.to_owned(),
        };
        let made = request(address, "GET", "/x", &[header], Vec::new());
        assert!(
            matches!(made, Err(Cause::Request(_))),
            "{name:?}: {value:?}"
        );
    }
    let made = request(address, "GET", "/x y\r\nz: /", &[], Vec::new()).expect("escaped");
    assert!(
        !made.url().as_str().contains(['\r', '\n', ' ']),
        "{}",
        made.url()
    );
}

#[test]
fn refused_connect() {
    block_on(async {
        let server = RawServer::bind(vec![vec![]]).await.expect("loopback port");
        let address = server.local_addr();
        drop(server);
        let client = Client::new(ClientOptions::default());
        while client.probe(address).await {
            async_std::task::yield_now().await;
        }
        let request = request(address, "GET", "/x", &[], Vec::new()).expect("valid request");
        let sent = client.send(address, request, &options(true)).await;
        let error = sent.expect_err("nobody listens");
        assert!(
            matches!(error, SendError::NotSent(Cause::Connect(_))),
            "{error:?}"
        );
    });
}

#[test]
fn closed_resent() {
    // A pooled connection closes on its second request: only an idempotent one is sent again.
    block_on(async {
        let good = vec![Step::Write(with_length(4, "good"))];
        let scripts = vec![good.clone(), vec![Step::Close], good];
        let client = Client::new(ClientOptions::default());
        let server = RawServer::bind(scripts.clone())
            .await
            .expect("loopback port");
        assert_eq!(fetch(&client, &server, true).await.as_deref(), Ok("good"));
        let second = fetch_as("second", &client, &server, true).await;
        assert_eq!(second.as_deref(), Ok("good"));
        assert_eq!(server.requests(), 3);

        let server = RawServer::bind(scripts).await.expect("loopback port");
        assert_eq!(fetch(&client, &server, false).await.as_deref(), Ok("good"));
        let second = fetch_as("second", &client, &server, false).await;
        assert!(
            matches!(second, Err(SendError::Unknown(Cause::Closed(_)))),
            "{second:?}"
        );
        assert_eq!(server.requests(), 2);
    });
}

#[test]
fn failure_stays() {
    // Reading on after a failure, or dropping a read midway, never makes the answer complete.
    block_on(async {
        let truncated = vec![
            Step::Write(with_length(8, "half")),
            Step::Pause(Duration::from_millis(100)),
            Step::Close,
        ];
        let server = RawServer::bind(vec![truncated])
            .await
            .expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let address = server.local_addr();
        let request = request(address, "GET", "/x", &[], Vec::new()).expect("valid request");
        let sent = client.send(address, request, &options(false)).await;
        let mut exchange = sent.expect("a head");
        assert_eq!(exchange.chunk().await, Ok(Some(b"half".to_vec())));
        let dropped = exchange.chunk().now_or_never();
        assert_eq!(dropped, None);
        let first = exchange.chunk().await;
        assert!(
            matches!(first, Err(SendError::Unknown(Cause::Closed(_)))),
            "{first:?}"
        );
        assert_eq!(exchange.chunk().await, first);
    });
}

#[test]
fn stopped_peer() {
    // A peer that accepts connections but answers nothing is not alive, so nothing is replaced.
    block_on(async {
        let server = RawServer::bind(vec![vec![Step::Hang]])
            .await
            .expect("loopback port");
        let client = Client::new(ClientOptions {
            probe_time: Duration::from_millis(100),
            ..ClientOptions::default()
        });
        let sent = fetch(&client, &server, true).await;
        assert_eq!(
            sent,
            Err(SendError::Unknown(Cause::Silent { alive: false }))
        );
    });
}

#[test]
fn unwanted_probe_sent() {
    block_on(async {
        let server = RawServer::bind(vec![vec![Step::Hang]])
            .await
            .expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let address = server.local_addr();
        let request = request(address, "GET", "/x", &[], Vec::new()).expect("valid request");
        let unprobed = SendOptions {
            probe: false,
            ..options(true)
        };
        let sent = client.send(address, request, &unprobed).await;
        assert_eq!(
            sent.err(),
            Some(SendError::Unknown(Cause::Silent { alive: false }))
        );
        assert_eq!(server.requests(), 1);
    });
}

#[test]
fn silent_replaced() {
    block_on(async {
        let server = RawServer::bind(vec![vec![Step::Write(with_length(4, "good"))]]).await;
        let server = server.expect("loopback port");
        let client = Client::new(ClientOptions::default());
        let pair = futures::join!(
            fetch(&client, &server, false),
            fetch(&client, &server, false)
        );
        assert_eq!(pair, (Ok("good".to_owned()), Ok("good".to_owned())));
        assert_eq!(client.idle_count(server.local_addr()), 2);
        server.blackhole_open();
        let silent = fetch_as("second", &client, &server, true).await;
        assert_eq!(
            silent,
            Err(SendError::Unknown(Cause::Silent { alive: true }))
        );
        // The old connections were all dropped, so the next request is not lost as well.
        let next = fetch_as("third", &client, &server, false).await;
        assert_eq!(next.as_deref(), Ok("good"));
    });
}

/// An upstream that stops anywhere in the head of its answer, and closes, has given no answer: not an
/// empty one, and not one that ends with the connection.
#[test]
fn head_cut_short() {
    let answer = with_length(4, "text");
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    for length in 1..head {
        let part = answer[..length].to_vec();
        let (result, idle) = run(vec![Step::Write(part), Step::Close]);
        assert!(
            matches!(result, Err(SendError::Unknown(Cause::Closed(_)))),
            "{length}: {result:?}"
        );
        assert_eq!(idle, 0);
    }
}
