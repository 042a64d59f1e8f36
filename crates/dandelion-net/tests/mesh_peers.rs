//! Authentication and addresses of peers, and connections that fail or go silent.

mod common;

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::block_on;
use async_std::task::sleep;
use common::HandlerEvent;
use common::Node;
use common::config;
use common::forward;
use common::id;
use common::node;
use common::node_with;
use common::pair;
use common::replied;
use common::secrets;
use common::serve;
use dandelion_fakes::relay::Relay;
use dandelion_net::mesh::CallError;
use dandelion_net::mesh::Family;
use dandelion_net::mesh::MeshError;
use dandelion_net::mesh::Secret;
use dandelion_net::mesh::decode_message;
use dandelion_protocol::codec::encode;
use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServePart;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// Largest payload of a heartbeat in the first minutes of a connection, while its number is small.
const HEARTBEAT_BYTES: u64 = 9;
const LIMIT: Duration = Duration::from_secs(10);

/// Repeats a call until the peer replies, such as after a connection failed.
async fn call_until(node: &Node, peer: &DaemonId) -> ReplyBody {
    loop {
        let limit = Duration::from_secs(1);
        match node.mesh.call(peer, forward("echo"), limit).await {
            Ok(body) => return body,
            Err(_not_yet) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Returns whether a call from one node to another succeeds with these secrets.
fn passes(from: (u8, Option<u8>), to: (u8, Option<u8>)) -> bool {
    block_on(async {
        let a = node_with(config("a", secrets(from.0, from.1))).await;
        let b = node_with(config("b", secrets(to.0, to.1))).await;
        a.mesh.set_peer(&id("b"), b.mesh.local_addr());
        match a.mesh.call(&id("b"), forward("echo"), LIMIT).await {
            Ok(body) => body == replied(),
            Err(error) => {
                assert_eq!((error, b.events.is_empty()), (CallError::NotSent, true));
                false
            }
        }
    })
}

#[test]
fn secrets_checked() {
    assert!(passes((1, None), (1, None)));
    assert!(!passes((1, None), (2, None)));
    assert!(!passes((1, Some(3)), (2, Some(4))));
    assert!(matches!(
        Secret::new(&[1; 31]),
        Err(MeshError::WeakSecret(31))
    ));
}

#[test]
fn secret_rotated() {
    // Old only, then both accepted, then the new one in use, then new only.
    let stages = [(1, None), (1, Some(2)), (2, Some(1)), (2, None)];
    for pair in stages.windows(2) {
        assert!(passes(pair[0], pair[1]), "{pair:?}");
        assert!(passes(pair[1], pair[0]), "{pair:?}");
    }
    assert!(!passes(stages[0], stages[3]));
}

#[test]
fn wrong_identity() {
    block_on(async {
        let (a, b) = (node("a").await, node("b").await);
        a.mesh.set_peer(&id("c"), b.mesh.local_addr());
        let call = a.mesh.call(&id("c"), forward("echo"), LIMIT).await;
        assert_eq!(call, Err(CallError::NotSent));
        let mut other = config("d", secrets(1, None));
        other.hello.cell = CellId(7);
        let d = node_with(other).await;
        a.mesh.set_peer(&id("d"), d.mesh.local_addr());
        let call = a.mesh.call(&id("d"), forward("echo"), LIMIT).await;
        assert_eq!(call, Err(CallError::NotSent));
    });
}

#[test]
fn address_changes() {
    block_on(async {
        let a = node("a").await;
        let first = node("b").await;
        a.mesh.set_peer(&id("b"), first.mesh.local_addr());
        assert_eq!(call_until(&a, &id("b")).await, replied());
        drop(first);
        let second = node("b").await;
        a.mesh.set_peer(&id("b"), second.mesh.local_addr());
        assert_eq!(call_until(&a, &id("b")).await, replied());
        a.mesh.remove_peer(&id("b"));
        let call = a.mesh.call(&id("b"), forward("echo"), LIMIT).await;
        assert_eq!(call, Err(CallError::NotSent));
    });
}

#[test]
fn shutdown_ends() {
    block_on(async {
        let (a, b) = pair().await;
        assert_eq!(call_until(&a, &id("b")).await, replied());
        let other = b.mesh.clone();
        b.mesh.shutdown();
        // The other handle does not keep the node running.
        while a.mesh.call(&id("b"), forward("echo"), LIMIT).await != Err(CallError::NotSent) {}
        let call = other.call(&id("a"), forward("echo"), LIMIT).await;
        assert_eq!(call, Err(CallError::NotSent));
    });
}

#[test]
fn removal_ends() {
    block_on(async {
        let (a, _b) = pair().await;
        let mut stream = a.mesh.serve(&id("b"), serve("hold")).expect("queued");
        assert!(matches!(stream.next().await, Ok(ServePart::Head { .. })));
        a.mesh.remove_peer(&id("b"));
        assert_eq!(stream.next().await, Err(CallError::Unknown));
    });
}

#[test]
fn silent_replaced() {
    block_on(async {
        let (a, b) = (node("a").await, node("b").await);
        let relay = Relay::bind(b.mesh.local_addr())
            .await
            .expect("loopback port");
        a.mesh.set_peer(&id("b"), relay.local_addr());
        assert_eq!(call_until(&a, &id("b")).await, replied());
        let mut stream = a.mesh.serve(&id("b"), serve("hold")).expect("queued");
        assert!(matches!(stream.next().await, Ok(ServePart::Head { .. })));
        relay.blackhole_open();
        // The outcome on the silent connection is unknown; the next call uses the fresh connection.
        let lost = timeout(LIMIT, stream.next()).await;
        assert_eq!(lost, Ok(Err(CallError::Unknown)));
        assert_eq!(call_until(&a, &id("b")).await, replied());
    });
}

#[test]
fn heartbeats_needed() {
    // No heartbeats on a connection that nobody waits on; small ones while an answer is awaited.
    block_on(async {
        let (a, b) = pair().await;
        assert_eq!(call_until(&a, &id("b")).await, replied());
        let before = a.mesh.traffic(Family::Link);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(a.mesh.traffic(Family::Link), before);
        let mut stream = a.mesh.serve(&id("b"), serve("hold")).expect("queued");
        assert!(matches!(stream.next().await, Ok(ServePart::Head { .. })));
        let mut after = before;
        while after.received < before.received + 3 {
            sleep(Duration::from_millis(10)).await;
            after = a.mesh.traffic(Family::Link);
        }
        let beats = after.sent - before.sent;
        assert!(after.sent_bytes - before.sent_bytes <= beats * HEARTBEAT_BYTES);
        drop(stream);
        while b.events.recv().await != Ok(HandlerEvent::Dropped("hold".to_owned())) {}
    });
}

#[test]
fn partition_heals() {
    block_on(async {
        let (a, b) = pair().await;
        assert_eq!(call_until(&a, &id("b")).await, replied());
        b.mesh.set_isolated(&id("a"), true);
        let limit = Duration::from_millis(100);
        let call = a.mesh.call(&id("b"), forward("echo"), limit).await;
        assert_eq!(call, Err(CallError::Unknown));
        b.mesh.set_isolated(&id("a"), false);
        assert_eq!(call_until(&a, &id("b")).await, replied());
    });
}

#[test]
fn garbage_closed() {
    block_on(async {
        let (a, b) = pair().await;
        let mut open = a.mesh.serve(&id("b"), serve("hold")).expect("queued");
        assert!(matches!(open.next().await, Ok(ServePart::Head { .. })));
        let upgrade = "GET /mesh HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n\
                       Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                       Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        let frame = [b"\x82\x85abcd".as_slice(), b"12345"].concat();
        let inputs = [
            b"\x00\xff\x17 garbage\r\n\r\n".to_vec(),
            b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            [upgrade.as_bytes(), b"\xff\xff\xff\xff"].concat(),
            [upgrade.as_bytes(), &frame].concat(),
        ];
        for input in inputs {
            let mut stream = TcpStream::connect(b.mesh.local_addr())
                .await
                .expect("connected");
            stream.write_all(&input).await.expect("sent");
            let mut rest = Vec::new();
            // The node closes the connection, with or without a reset.
            let _closed = stream.read_to_end(&mut rest).await;
        }
        assert_eq!(call_until(&a, &id("b")).await, replied());
        drop(open);
        while b.events.recv().await != Ok(HandlerEvent::Dropped("hold".to_owned())) {}
    });
}

#[test]
fn garbage_decoded() {
    let mut source = Gen::from_size_and_seed(300, 7);
    for _ in 0..5000 {
        let bytes = Vec::<u8>::arbitrary(&mut source);
        match decode_message(&bytes) {
            Ok(message) => assert!(encode(&message).is_ok(), "{bytes:?}"),
            Err(error) => assert!(matches!(error, MeshError::Codec(_)), "{bytes:?}"),
        }
    }
}

/// After a restart of all daemons at the same time, a voter knows the others only by their names.
#[test]
fn named_by_ip() {
    block_on(async {
        let a = node_with(config("127.0.0.1", secrets(1, None))).await;
        let mut known = config("b", secrets(1, None));
        known.name_port = Some(a.mesh.local_addr().port());
        let b = node_with(known).await;
        assert_eq!(call_until(&b, &id("127.0.0.1")).await, replied());
        let call = b.mesh.call(&id("c"), forward("echo"), LIMIT).await;
        assert_eq!(call, Err(CallError::NotSent));
    });
}
