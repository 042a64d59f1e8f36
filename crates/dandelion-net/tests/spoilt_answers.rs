//! Answers with bytes that HTTP allows and the decoder can't hold, and answers with random bytes
//! changed: reading them ends with an answer or an error, never with a panic.

use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_fakes::raw::RawServer;
use dandelion_fakes::raw::Step;
use dandelion_net::http::HeadError;
use dandelion_net::http::check_request;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const ROUNDS: usize = 400;

fn answer(header: &[u8], trailer: &[u8]) -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: ";
    let body = b"\r\n\r\n4\r\ngood\r\n0\r\nX-Sum: ";
    [head, header, body, trailer, b"\r\n\r\n"].concat()
}

fn fetch(bytes: Vec<u8>) -> Result<Vec<u8>, SendError> {
    block_on(async {
        let script = vec![Step::Write(bytes), Step::Close];
        let server = RawServer::bind(vec![script]).await.unwrap();
        let client = Client::new(ClientOptions::default());
        let address = server.local_addr();
        let request = request(address, "GET", "/x", &[], Vec::new()).unwrap();
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_secs(20),
            progress: Duration::from_secs(10),
            idempotent: false,
            probe: false,
        };
        let mut exchange = client.send(address, request, &options).await?;
        exchange.read_all(1 << 16).await
    })
}

#[test]
fn sound_answer() {
    assert_eq!(fetch(answer(b"a", b"1")), Ok(b"good".to_vec()));
}

/// A head with letters outside ASCII ended the task that read it by a panic.
#[test]
fn letters_outside_ascii() {
    for value in ["é", "日本", "a\u{80}b"] {
        let result = fetch(answer(value.as_bytes(), b"1"));
        let expected = HeadError::NotAscii("server".to_owned());
        assert_eq!(result, Err(SendError::Unknown(Cause::Head(expected))));
    }
    let result = fetch(answer(&[0xff, 0xfe], b"1"));
    assert!(matches!(result, Err(SendError::Unknown(Cause::Head(_)))));
}

/// So did a trailer.
#[test]
fn trailer_outside_ascii() {
    let result = fetch(answer(b"a", "é".as_bytes()));
    assert!(
        matches!(result, Err(SendError::Unknown(Cause::Body(_)))),
        "{result:?}"
    );
}

#[test]
fn changed_bytes() {
    let mut source = Gen::from_size_and_seed(1_000, 5);
    for _ in 0..ROUNDS {
        let mut bytes = answer(b"a", b"1");
        for _ in 0..=u8::arbitrary(&mut source) % 3 {
            let at = usize::arbitrary(&mut source) % bytes.len();
            bytes[at] = u8::arbitrary(&mut source);
        }
        let shown = bytes.escape_ascii().to_string();
        match fetch(bytes) {
            Ok(body) => assert!(body.len() < 100, "{shown}"),
            Err(SendError::Unknown(_)) => (),
            Err(error) => panic!("{shown}: {error}"),
        }
    }
}

#[test]
fn caller_outside_ascii() {
    let head = "GET / HTTP/1.1\r\nHost: a\r\nX-Name: é\r\n\r\n";
    let expected = HeadError::NotAscii("x-name".to_owned());
    assert_eq!(check_request(head.as_bytes()), Err(expected));
}
