//! Messages about as long as a link takes. Guards against a caller that waits for the answer to a call that
//! was never sent, and against an entry of an earlier release that no follower gets.

mod common;

use std::time::Duration;

use async_std::task::block_on;
use common::HandlerEvent;
use common::forward;
use common::pair;
use common::replied;
use common::serve;
use dandelion_net::mesh::CallError;
use dandelion_protocol::codec;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MAX_MESSAGE_BYTES;
use dandelion_protocol::mesh::MAX_REPLICATION_BYTES;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ServeRequest;

const LIMIT: Duration = Duration::from_secs(20);

fn replication(length: usize) -> MeshMessage {
    MeshMessage::StoreRaft(vec![7; length])
}

#[test]
fn entry_of_earlier_release() {
    block_on(async {
        let (a, b) = pair().await;
        let overhead = codec::encoded_len(&replication(MAX_MESSAGE_BYTES)).unwrap();
        let overhead = overhead - MAX_MESSAGE_BYTES;
        let longest = replication(MAX_REPLICATION_BYTES - overhead);
        let too_long = replication(MAX_REPLICATION_BYTES - overhead + 1);
        a.mesh.send(b.mesh.id(), too_long).unwrap();
        a.mesh.send(b.mesh.id(), longest.clone()).unwrap();
        let received = async_std::future::timeout(LIMIT, b.events.recv()).await;
        let expected = HandlerEvent::Message(a.mesh.id().clone(), longest);
        assert!(received.unwrap().unwrap() == expected);
    });
}

#[test]
fn long_call_not_sent() {
    block_on(async {
        let (a, b) = pair().await;
        let CallBody::Forward {
            path, content_type, ..
        } = forward("echo")
        else {
            panic!("another call");
        };
        let call = CallBody::Forward {
            path,
            content_type,
            body: vec![7; MAX_MESSAGE_BYTES],
        };
        let refused = a.mesh.call(b.mesh.id(), call, LIMIT).await;
        assert_eq!(refused.err(), Some(CallError::NotSent));
        let short = a.mesh.call(b.mesh.id(), forward("echo"), LIMIT).await;
        assert_eq!(short, Ok(replied()));
    });
}

#[test]
fn long_request_not_sent() {
    block_on(async {
        let (a, b) = pair().await;
        let request = ServeRequest {
            body: vec![7; MAX_MESSAGE_BYTES],
            ..serve("pieces")
        };
        let mut stream = a.mesh.serve(b.mesh.id(), request).unwrap();
        assert_eq!(stream.next().await.err(), Some(CallError::NotSent));
    });
}
