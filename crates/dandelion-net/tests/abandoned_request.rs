//! A request that its sender gives up before the answer.

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task::block_on;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;

/// More than the buffers of a connection take.
const BODY_BYTES: usize = 16 * 1024 * 1024;

#[test]
fn abandoned_request_arrives() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let client = Client::new(ClientOptions::default());
        for body in [BODY_BYTES, 16] {
            let options = SendOptions {
                deadline: Instant::now() + Duration::from_secs(20),
                progress: Duration::from_millis(300),
                idempotent: false,
                probe: false,
            };
            let sent = request(to, "POST", "/", &[], vec![0; body]).expect("a valid request");
            let given_up = client.send(to, sent, &options).await.unwrap_err();
            assert!(matches!(given_up, SendError::Unknown(_)), "{given_up}");
            let (mut stream, _) = listener.accept().await.expect("the request connected");
            let read = stream.read_to_end(&mut Vec::new()).await;
            let reset = read.expect_err("an orderly end looks like a complete request");
            assert_eq!(reset.kind(), ErrorKind::ConnectionReset);
        }
    });
}
