//! The account of clients' memory and connections, without a network.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use async_std::task::block_on;
use dandelion_net::http::memory::ClientMemory;
use dandelion_net::http::memory::ConnectionLimits;
use dandelion_net::http::memory::Full;
use dandelion_net::http::memory::Kind;
use dandelion_net::http::memory::SHORT_BYTES;
use dandelion_protocol::time::Millis;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const BUDGET: usize = 8 * SHORT_BYTES;
const WINDOW: Millis = Millis::from_secs(10);

fn memory() -> ClientMemory {
    let limits = ConnectionLimits {
        total: 4,
        per_peer: 2,
    };
    ClientMemory::new(BUDGET, limits)
}

/// Guards against bytes lost or repeated between segments, and against bytes that stay accounted.
#[test]
fn bodies_whole() {
    fn whole(pieces: Vec<u16>, size: u16) -> bool {
        let memory = ClientMemory::new(usize::MAX, memory_limits());
        let body = memory.body(usize::from(size), WINDOW);
        let mut sent = Vec::new();
        for (index, length) in pieces.into_iter().enumerate() {
            let piece = vec![index as u8; usize::from(length)];
            body.push(&piece).expect("there is room");
            sent.extend_from_slice(&piece);
        }
        let accounted = memory.usage().bytes[0] >= sent.len();
        let body = body.take().expect("nothing was dropped");
        let handled = memory.usage().bytes[1] >= sent.len();
        let bytes = body.to_vec();
        drop(body);
        accounted && handled && bytes == sent && memory.usage().bytes == [0; 4]
    }
    fn memory_limits() -> ConnectionLimits {
        ConnectionLimits {
            total: 1,
            per_peer: 0,
        }
    }
    QuickCheck::new()
        .tests(200)
        .rng(Gen::new(12))
        .quickcheck(whole as fn(Vec<u16>, u16) -> bool);
}

/// Guards against a dropped body that is handled all the same, or whose reader isn't woken.
#[test]
fn dropped_told() {
    let memory = memory();
    let piece = vec![1; SHORT_BYTES];
    let stopped = memory.body(BUDGET, WINDOW);
    for _ in 0..8 {
        stopped.push(&piece).expect("there is room");
    }
    assert!(memory.is_pressed());
    let moving = memory.body(1, WINDOW);
    moving.push(&piece).expect("short");
    block_on(stopped.dropped());
    assert_eq!(stopped.push(&[0]), Err(Full));
    assert_eq!(stopped.take().err(), Some(Full));
    let body = moving.take().expect("kept");
    assert_eq!(body.to_vec(), piece);
    drop(body);
    assert_eq!(memory.usage().bytes, [0; 4]);
    assert!(!memory.is_pressed());
}

/// Fault: jobs were counted by their encoded form alone, and two long ones at once took more than an entry
/// has.
#[test]
fn reserved_within_budget() {
    let memory = memory();
    let half = memory.reserve(BUDGET / 2).expect("there is room");
    let rest = memory.reserve(BUDGET / 2).expect("there is room");
    assert_eq!(memory.reserve(1).err(), Some(Full));
    drop(half);
    assert_eq!(memory.usage().bytes, [0, BUDGET / 2, 0, 0]);
    drop(rest);
    assert_eq!(memory.usage().bytes, [0; 4]);
}

/// Guards against connections that stay counted, and against one peer that takes those of others.
#[test]
fn connections_counted() {
    let memory = memory();
    let peer = |last| IpAddr::V4(Ipv4Addr::new(10, 0, 0, last));
    let first = [memory.connect(peer(1)), memory.connect(peer(1))];
    assert_eq!(memory.connect(peer(1)).err(), Some("peer_connections"));
    let second = [memory.connect(peer(2)), memory.connect(peer(2))];
    assert_eq!(memory.connect(peer(3)).err(), Some("connections"));
    assert_eq!(memory.usage().connections, 4);
    assert!(first.iter().chain(&second).all(Result::is_ok));
    drop(first);
    assert_eq!(memory.connect(peer(1)).err(), None);
    drop(second);
    let usage = memory.usage();
    assert_eq!(usage.connections, 0);
    assert_eq!(usage.refused.values().sum::<u64>(), 2);
    assert_eq!(usage.bytes.len(), Kind::ALL.len());
}
