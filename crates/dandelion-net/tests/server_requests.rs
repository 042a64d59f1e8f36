//! Requests that the server refuses before they reach a handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::block_on;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use http_types::Request;
use http_types::Response;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Echoes path and body, and counts the requests that it ran.
#[derive(Debug, Clone, Default)]
struct Echo(Arc<AtomicUsize>);

impl Handler for Echo {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        self.0.fetch_add(1, Ordering::SeqCst);
        let path = request.url().path().to_owned();
        let body = request.body_bytes().await.unwrap_or_default();
        let mut response = Response::new(200);
        response.set_body([path.as_bytes(), b":", &body].concat());
        response
    }
}

fn limits() -> Limits {
    Limits {
        head_bytes: 1024,
        head_time: Duration::from_millis(300),
        idle_time: Duration::from_secs(1),
        body_bytes: 64,
        body_window: Duration::from_millis(300),
        // Any body makes the account half full, so that slow ones are refused.
        memory_bytes: 1,
        ..Limits::default()
    }
}

async fn bind() -> (Server, Echo) {
    let echo = Echo::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(address, limits(), echo.clone()).await;
    (server.expect("loopback port"), echo)
}

/// Sends raw bytes and reads until the server closes; returns the text and the requests run.
fn send_pieces(pieces: &[&[u8]], pause: Duration) -> (String, usize) {
    block_on(async {
        let (server, echo) = bind().await;
        let mut stream = TcpStream::connect(server.local_addr())
            .await
            .expect("connected");
        let mut writer = stream.clone();
        let write = async {
            for piece in pieces {
                // The server may have closed already; its answer is checked below.
                let _closed = writer.write_all(piece).await;
                async_std::task::sleep(pause).await;
            }
        };
        let mut text = Vec::new();
        let read = stream.read_to_end(&mut text);
        let (_done, read) = futures::join!(write, read);
        read.expect("an orderly close");
        (
            String::from_utf8_lossy(&text).into_owned(),
            echo.0.load(Ordering::SeqCst),
        )
    })
}

fn send_text(text: &str) -> (String, usize) {
    send_pieces(&[text.as_bytes()], Duration::ZERO)
}

#[track_caller]
fn assert_refused(text: &str, status: &str) {
    let (answer, runs) = send_text(text);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{text:?}: {answer:?}"
    );
    assert!(answer.contains("\"ran\":\"not_run\""), "{answer:?}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer:?}"
    );
    assert_eq!(
        (runs, answer.matches("\r\ncontent-length:").count()),
        (0, 1),
        "{answer:?}"
    );
}

#[test]
fn smuggling_refused() {
    for headers in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4, 4",
        "Content-Length: +4",
        "Content-Length: 0x4",
        "Content-Length: -1",
        "Content-Length: 99999999999999999999",
        "Content-Length : 4",
        "Content-Length:\r\n 4",
        "X-A: b\r\n folded: c",
        "X-A: b\r\n\tfolded",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding:\x0bchunked",
        "X-A: b\nContent-Length: 4",
        "Host: b",
    ] {
        assert_refused(
            &format!("POST /a HTTP/1.1\r\nHost: a\r\n{headers}\r\n\r\nabcd"),
            "400",
        );
    }
}

#[test]
fn malformed_refused() {
    for text in [
        "GET /a HTTP/1.0\r\nHost: a\r\n\r\n",
        "GET /a HTTP/2.0\r\nHost: a\r\n\r\n",
        "GET a b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "\x16\x03\x01\x02\r\n\r\n",
        "NOTAMETHOD /a HTTP/1.1\r\nHost: a\r\n\r\n",
    ] {
        assert_refused(text, "400");
    }
}

#[test]
fn bad_chunks() {
    let head = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for body in [
        "zz\r\nab\r\n0\r\n\r\n",
        "2\r\nabc\r\n0\r\n\r\n",
        "2\nab\n0\n\n",
    ] {
        assert_refused(&format!("{head}{body}"), "400");
    }
}

#[test]
fn oversize_refused() {
    let long = "x".repeat(2000);
    assert_refused(
        &format!("GET /a HTTP/1.1\r\nHost: a\r\nX-A: {long}\r\n\r\n"),
        "431",
    );
    assert_refused(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n",
        "413",
    );
    let body = "x".repeat(65);
    let head = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_refused(&format!("{head}41\r\n{body}\r\n0\r\n\r\n"), "413");
}

#[test]
fn slow_loris() {
    let piece: &[u8] = b"X";
    let mut pieces = vec![b"GET /a HTTP/1.1\r\nHost: a\r\n".as_slice()];
    pieces.extend(std::iter::repeat_n(piece, 50));
    let (answer, runs) = send_pieces(&pieces, Duration::from_millis(20));
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert_eq!(runs, 0);
    let head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n".as_slice();
    pieces[0] = head;
    let (answer, runs) = send_pieces(&pieces, Duration::from_millis(20));
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer:?}");
    assert_eq!(runs, 0);
}

#[test]
fn pipelined_separated() {
    let (answer, runs) = send_text(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nGET\
         POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\
         GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    );
    assert_eq!(runs, 3, "{answer:?}");
    for part in ["/a:GET", "/b:ok", "/c:"] {
        assert!(answer.contains(part), "{part}: {answer:?}");
    }
}

#[test]
fn continue_sent() {
    let head = b"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\
                 Connection: close\r\n\r\n";
    let (answer, runs) = send_pieces(&[head, b"ok"], Duration::from_millis(50));
    assert!(
        answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"),
        "{answer:?}"
    );
    assert_eq!((answer.matches("100 Continue").count(), runs), (1, 1));
}

#[test]
fn garbage_closed() {
    // One server receives all the garbage, runs none of it and still serves a valid request.
    let mut source = Gen::from_size_and_seed(200, 7);
    block_on(async {
        let (server, echo) = bind().await;
        for _ in 0..100 {
            let garbage = Vec::<u8>::arbitrary(&mut source);
            let stream = TcpStream::connect(server.local_addr()).await;
            let mut stream = stream.expect("connected");
            let _closed = stream.write_all(&garbage).await;
            let _closed = stream.write_all(b"\r\n\r\n").await;
            let _closed = stream.shutdown(std::net::Shutdown::Write);
            let mut text = Vec::new();
            stream
                .read_to_end(&mut text)
                .await
                .expect("an orderly close");
            let refused = text.is_empty() || text.starts_with(b"HTTP/1.1 4");
            assert!(refused, "{garbage:?}");
        }
        assert_eq!(echo.0.load(Ordering::SeqCst), 0);
        let caller = send_text("GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assert_eq!(caller.1, 1);
    });
}
