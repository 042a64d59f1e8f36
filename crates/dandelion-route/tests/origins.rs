//! Origins of streams are kept for a while, in bounded memory.

use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::streams::StreamKey;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_protocol::time::Millis;
use dandelion_route::origins::KnownOrigins;
use quickcheck::quickcheck;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "llm".parse().unwrap(),
        software: SoftwareVersion(software.to_owned()),
        number: 0,
    }
}

fn of_try(software: &str, number: u32) -> StreamOrigin {
    StreamOrigin {
        number,
        ..origin(software)
    }
}

fn key(number: u64) -> StreamKey {
    StreamKey(number.to_string())
}

#[test]
fn kept_again_expires() {
    let mut known = KnownOrigins::default();
    known.keep(Millis(0), key(1), origin("v1"));
    known.keep(Millis(100_000), key(1), origin("v1"));
    known.keep(Millis(150_000), key(2), origin("v2"));
    assert_eq!(known.find(Millis(150_000), &key(1)), Some(&origin("v1")));
    assert_eq!(known.find(Millis(150_000), &key(2)), Some(&origin("v2")));
    assert_eq!(known.find(Millis(230_000), &key(1)), None);
    assert_eq!(known.find(Millis(150_000), &key(3)), None);
}

#[test]
fn origins_without_end() {
    let mut known = KnownOrigins::default();
    for number in 0..200_000 {
        known.keep(Millis(number / 10), key(number % 150_000), origin("v1"));
    }
    assert!(known.len() <= 32_768, "{}", known.len());
    assert!(known.find(Millis(20_000), &key(49_999)).is_some());
}

#[test]
fn late_try_replaces_origin() {
    let mut known = KnownOrigins::default();
    known.keep(Millis(0), key(1), of_try("v2", 2));
    known.keep(Millis(10), key(1), of_try("v1", 1));
    assert_eq!(known.find(Millis(10), &key(1)), Some(&of_try("v2", 2)));
    // A stream that is taken up keeps its origin for longer.
    known.keep(Millis(100_000), key(1), of_try("v2", 1));
    assert_eq!(known.find(Millis(200_000), &key(1)), Some(&of_try("v2", 2)));
}

#[test]
fn origins_in_any_order() {
    fn prop(order: Vec<u8>) -> bool {
        let numbers: Vec<u32> = order.into_iter().map(|n| u32::from(n % 8) + 1).collect();
        let mut known = KnownOrigins::default();
        for number in &numbers {
            known.keep(Millis(0), key(1), of_try(&format!("v{number}"), *number));
        }
        let latest = numbers.iter().max();
        known.find(Millis(0), &key(1)).map(|origin| &origin.number) == latest
    }
    quickcheck(prop as fn(Vec<u8>) -> bool);
}

/// Entries of an earlier version number no tries.
#[test]
fn unnumbered_tries() {
    let mut known = KnownOrigins::default();
    known.keep(Millis(0), key(1), origin("v1"));
    known.keep(Millis(10), key(1), origin("v2"));
    assert_eq!(known.find(Millis(10), &key(1)), Some(&origin("v2")));
}
