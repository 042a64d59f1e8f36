//! Origins of streams are kept for a while, in bounded memory.

use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::streams::StreamKey;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_protocol::time::Millis;
use dandelion_route::origins::KnownOrigins;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "llm".parse().unwrap(),
        software: SoftwareVersion(software.to_owned()),
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
