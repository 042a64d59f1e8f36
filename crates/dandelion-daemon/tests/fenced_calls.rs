//! Calls of a duty whose lease ends before they are written.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::task;
use async_std::task::block_on;
use dandelion_daemon::fenced;
use dandelion_daemon::fenced::Duty;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

/// Time in which a call that was written would have been received.
const WATCH_TIME: Duration = Duration::from_millis(200);

#[test]
fn call_written_after_lease() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let holds = Arc::new(AtomicBool::new(true));
        let (lease, received) = (Arc::clone(&holds), Arc::new(AtomicBool::new(false)));
        let seen = Arc::clone(&received);
        // The lease ends while the connection is made.
        task::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("the call connects");
            let read = stream.read(&mut [0; 64]).await.unwrap_or(0);
            seen.store(read > 0, Ordering::SeqCst);
        });
        let client = Client::new(ClientOptions::default());
        let call = request(to, "POST", "/usage", &[], Vec::new()).expect("a valid request");
        let may_act = || {
            lease.store(false, Ordering::SeqCst);
            holds.load(Ordering::SeqCst)
        };
        let sent = fenced::send(&client, to, call, true, may_act).await;
        drop(client);
        task::sleep(WATCH_TIME).await;
        sent.unwrap_err();
        assert!(!received.load(Ordering::SeqCst));
    });
}

#[test]
fn other_term_withheld() {
    let duty = Duty::open(Millis(0));
    task::block_on(task::sleep(fenced::SEND_TIMEOUT));
    assert!(!duty.begin_act(None, Term(3)));
    assert!(!duty.begin_act(Some(Term(4)), Term(3)));
    assert!(duty.begin_act(Some(Term(4)), Term(4)));
    assert!(duty.begin_act(Some(Term(4)), Term(4)));
    // Another daemon may have held term 5.
    assert!(!duty.begin_act(Some(Term(6)), Term(6)));
}
