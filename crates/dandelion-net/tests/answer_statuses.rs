//! Answers whose status is none of a final answer: nothing of them is used, and the request counts as one
//! that may have run.

use std::time::Duration;
use std::time::Instant;

use async_std::task::block_on;
use dandelion_fakes::raw::RawServer;
use dandelion_fakes::raw::Step;
use dandelion_net::http::HeadError;
use dandelion_net::http::check_response;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;

const ID_HEADER: &str = "x-request-id";

fn head(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} OK\r\nContent-Length: 4\r\n\r\ntext").into_bytes()
}

/// Sends a request that may run again to a server that answers with one status; returns the error, the
/// number of requests that arrived and that of idle connections.
fn send(method: &str, status: &str) -> (Option<SendError>, usize, usize) {
    block_on(async {
        let server = RawServer::bind(vec![vec![Step::Write(head(status))]]).await;
        let server = server.unwrap();
        let client = Client::new(ClientOptions::default());
        let address = server.local_addr();
        let request = request(address, method, "/x", &[], Vec::new()).unwrap();
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_secs(20),
            progress: Duration::from_secs(10),
            idempotent: true,
            probe: false,
        };
        let sent = client.send(address, request, &options).await;
        (sent.err(), server.requests(), client.idle_count(address))
    })
}

/// Sends requests that get an answer with this status and returns why it was refused.
fn refused(status: &str) -> HeadError {
    let errors = ["GET", "POST", "HEAD"].map(|method| {
        let (error, requests, idle) = send(method, status);
        assert_eq!((requests, idle), (1, 0), "{method} {status}");
        match error {
            Some(SendError::Unknown(Cause::Head(error))) => error,
            other => panic!("{method} {status}: {other:?}"),
        }
    });
    let [first, others @ ..] = errors;
    assert!(others.iter().all(|error| *error == first));
    first
}

/// A replica in trouble answers with status 000, which is neither a success nor a failure. Statuses from
/// 600 on passed the check of the head and were left to the decoder.
#[test]
fn undefined_statuses() {
    for status in ["000", "042", "099", "600", "999"] {
        let code = status.parse().unwrap();
        assert_eq!(refused(status), HeadError::Status(code));
    }
}

#[test]
fn interim_statuses() {
    for status in ["100", "150", "199"] {
        let code = status.parse().unwrap();
        assert_eq!(refused(status), HeadError::Interim(code));
    }
}

#[test]
fn malformed_statuses() {
    for status in ["", "0", "00", "0200", "2000", "-12", "+00", "0x0", "2 00"] {
        let error = refused(status);
        assert!(
            matches!(error, HeadError::Malformed(_)),
            "{status}: {error}"
        );
    }
}

/// The check of the head decides on every status, whatever reads the answer afterwards.
#[test]
fn every_status() {
    for code in 0..=999 {
        let checked = check_response(&head_only(code), false, ID_HEADER);
        assert_eq!(checked.is_ok(), (200..=599).contains(&code), "{code}");
    }
}

fn head_only(code: u16) -> Vec<u8> {
    format!("HTTP/1.1 {code:03} OK\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// A process that answers probes with such a status does not count as alive.
#[test]
fn unsound_probe() {
    let alive = |status: &str| {
        block_on(async {
            let server = RawServer::bind(vec![vec![Step::Write(head(status))]]).await;
            let client = Client::new(ClientOptions::default());
            client.probe(server.unwrap().local_addr()).await
        })
    };
    assert!(alive("200"));
    assert!(alive("404"));
    for status in ["000", "150", "600", "0200"] {
        assert!(!alive(status), "{status}");
    }
}
