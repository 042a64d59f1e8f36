//! The catalogue of events and the page generated from it.

use std::collections::BTreeSet;
use std::path::Path;

use dandelion_telemetry::Event;
use dandelion_telemetry::events::events_page;

#[test]
fn page_equal() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = std::fs::read_to_string(path).expect("docs/EVENTS.md exists");
    assert_eq!(
        page,
        events_page(),
        "run `cargo run -p dandelion-telemetry --example events > docs/EVENTS.md`"
    );
}

#[test]
fn numbers_ascend() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert!(numbers.iter().all(|number| (100..1000).contains(number)));
}

#[test]
fn names_unique() {
    let names: BTreeSet<&str> = Event::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(names.len(), Event::ALL.len());
    let is_snake = |name: &str| name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
    assert!(names.iter().all(|name| is_snake(name)));
}
