//! Lost answers, resends and fallback to further daemons.

use async_std::net::TcpListener;
use async_std::task::block_on;
use dandelionctl::CtlError;
use dandelionctl::error;

use crate::daemon::FakeDaemon;
use crate::daemon::Fault;
use crate::parse::parse;

const PUT: [&str; 3] = ["team", "put", "claims"];

async fn run(daemons: &str, words: &[&str]) -> Result<String, CtlError> {
    let flags = [
        "dandelionctl",
        "--operator=anna",
        "--token=t0k3n",
        "--daemon",
        daemons,
    ];
    let cli = parse(&[&flags[..], words].concat());
    cli.expect("flags parse").run().await
}

/// Puts a team while the first two answers have a fault, and expects that the change is applied once
/// and sent three times.
fn assert_once(fault: Fault) {
    block_on(async {
        let daemon = FakeDaemon::bind(&[fault, fault]).await;
        let text = run(&daemon.address.to_string(), &PUT)
            .await
            .expect("answered");
        assert!(text.starts_with("revision 1,"), "{fault:?}: {text}");
        assert_eq!(daemon.cell.state().operators, ["anna"], "{fault:?}");
        assert_eq!(daemon.tokens.lock().expect("no panic").len(), 3);
    });
}

#[test]
fn answer_lost() {
    assert_once(Fault::Lost);
}

#[test]
fn answer_truncated() {
    assert_once(Fault::Truncated);
}

#[test]
fn answer_unframed() {
    assert_once(Fault::Unframed);
}

#[test]
fn leader_lost() {
    assert_once(Fault::Unknown);
}

#[test]
fn token_sent() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        run(&daemon.address.to_string(), &["team", "list"])
            .await
            .expect("answered");
        assert_eq!(*daemon.tokens.lock().expect("no panic"), ["Bearer t0k3n"]);
    });
}

/// Returns an address on which nothing listens.
async fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("bound").to_string()
}

#[test]
fn next_daemon() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let daemons = format!("{},{}", unused_address().await, daemon.address);
        run(&daemons, &PUT).await.expect("answered by the second");
        assert_eq!(daemon.cell.state().revision, 1);
    });
}

#[test]
fn no_daemon_listens() {
    block_on(async {
        let daemons = unused_address().await;
        let error = run(&daemons, &["--resends=0", "team", "list"]).await;
        let error = error.expect_err("nobody listens");
        assert_eq!(error.exit_code(), error::EXIT_NO_ANSWER);
        assert!(error.to_string().contains("not sent"), "{error}");
    });
}

#[test]
fn unknown_outcome() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[Fault::Lost]).await;
        let daemons = format!("{},{}", daemon.address, unused_address().await);
        let flags = ["--resends=0", "--request-id=2a", "team", "put", "claims"];
        let error = run(&daemons, &flags).await.expect_err("no answer");
        assert_eq!(error.exit_code(), error::EXIT_NO_ANSWER);
        let message = error.to_string();
        assert!(!message.contains("not sent"), "it was: {message}");
        assert!(message.contains("--request-id 0000000000000000000000000000002a"));
    });
}

#[test]
fn refusal_not_resent() {
    block_on(async {
        let daemon = FakeDaemon::bind(&[]).await;
        let flags = ["--expected-revision=9", "team", "put", "claims"];
        let error = run(&daemon.address.to_string(), &flags).await;
        let error = error.expect_err("conflict");
        assert_eq!(error.exit_code(), error::EXIT_REFUSED);
        assert!(error.to_string().contains("conflict"), "{error}");
        assert_eq!(daemon.tokens.lock().expect("no panic").len(), 1);
    });
}
