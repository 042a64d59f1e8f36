//! A request that its sender withholds after a connection was made, or after a pooled one broke.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::task;
use async_std::task::block_on;
use async_std::task::sleep;
use dandelion_net::http::client::Cause;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;

/// Time in which a request that was written would have been received.
const WATCH_TIME: Duration = Duration::from_millis(200);

/// Answers the first request of each connection and closes the connection at the second one.
async fn serve_once(listener: TcpListener, received: Arc<AtomicU32>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            return;
        };
        let received = Arc::clone(&received);
        task::spawn(async move {
            let mut buffer = [0; 1024];
            for number in 0..2 {
                if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                    return;
                }
                received.fetch_add(1, Ordering::SeqCst);
                if number == 0 {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(answer).await.expect("the client reads");
                }
            }
        });
    }
}

#[test]
fn withheld_request_sent() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let to = listener.local_addr().expect("an address");
        let received = Arc::new(AtomicU32::new(0));
        task::spawn(serve_once(listener, Arc::clone(&received)));
        let options = SendOptions {
            deadline: Instant::now() + Duration::from_secs(20),
            progress: Duration::from_secs(5),
            idempotent: true,
            probe: false,
        };
        let client = Client::new(ClientOptions::default());
        let get = || request(to, "GET", "/", &[], Vec::new()).expect("a valid request");
        let fresh = client.send_if(to, get(), &options, || false).await;
        assert!(matches!(fresh, Err(SendError::NotSent(Cause::Withheld))));
        assert_eq!(client.idle_count(to), 1, "the connection is kept");
        let mut answer = client.send(to, get(), &options).await.expect("an answer");
        answer.read_all(1024).await.expect("a complete answer");
        // The first write goes to the pooled connection, which then closes; the second is withheld.
        let writes = AtomicU32::new(0);
        let may_send = || writes.fetch_add(1, Ordering::SeqCst) == 0;
        let resent = client.send_if(to, get(), &options, may_send).await;
        sleep(WATCH_TIME).await;
        assert!(matches!(resent, Err(SendError::Unknown(_))), "{resent:?}");
        assert_eq!(received.load(Ordering::SeqCst), 2);
    });
}
