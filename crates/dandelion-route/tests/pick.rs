//! Choice of an upstream for a short request, without load reports.

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_route::pick::Ending;
use dandelion_route::pick::Picker;

fn upstream(id: &str, zone: &str) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: WallMillis(1),
        service: "portal".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        slots: 2,
        ready: true,
        software: SoftwareVersion::default(),
    }
}

fn pick(
    picker: &mut Picker,
    now: u64,
    upstreams: &[UpstreamIncarnation],
    tried: &[UpstreamId],
) -> Option<String> {
    let service = "portal".parse().unwrap();
    let zone = "near".parse().unwrap();
    let ranked = picker.rank(
        Millis(now),
        upstreams.iter(),
        &service,
        &zone,
        tried,
        |_| false,
    );
    let chosen = *ranked.first()?;
    picker.begin(chosen);
    Some(chosen.id.to_string())
}

#[test]
fn own_zone_first() {
    let upstreams = [upstream("a", "far"), upstream("b", "near")];
    let mut picker = Picker::default();
    assert_eq!(pick(&mut picker, 0, &upstreams, &[]).as_deref(), Some("b"));
}

#[test]
fn spills_when_full() {
    let upstreams = [upstream("a", "far"), upstream("b", "near")];
    let mut picker = Picker::default();
    let picks: Vec<_> = (0..4)
        .map(|_| pick(&mut picker, 0, &upstreams, &[]).unwrap())
        .collect();
    assert_eq!(picks.iter().filter(|id| *id == "b").count(), 2);
}

#[test]
fn slow_avoided() {
    let upstreams = [upstream("a", "far"), upstream("b", "near")];
    let mut picker = Picker::default();
    for _ in 0..10 {
        pick(&mut picker, 0, &upstreams[1..], &[]).unwrap();
        picker.end(Millis(0), &upstreams[1], Ending::Answered(Millis(200)));
    }
    assert_eq!(pick(&mut picker, 0, &upstreams, &[]).as_deref(), Some("a"));
}

#[test]
fn failed_skipped() {
    let upstreams = [upstream("a", "far"), upstream("b", "near")];
    let mut picker = Picker::default();
    pick(&mut picker, 0, &upstreams, &[]).unwrap();
    picker.end(Millis(0), &upstreams[1], Ending::Failed);
    assert_eq!(
        pick(&mut picker, 100, &upstreams, &[]).as_deref(),
        Some("a")
    );
    assert_eq!(
        pick(&mut picker, 1_000, &upstreams, &[]).as_deref(),
        Some("b")
    );
}

#[test]
fn last_resort() {
    let upstreams = [upstream("b", "near")];
    let mut picker = Picker::default();
    pick(&mut picker, 0, &upstreams, &[]).unwrap();
    picker.end(Millis(0), &upstreams[0], Ending::Failed);
    assert_eq!(
        pick(&mut picker, 100, &upstreams, &[]).as_deref(),
        Some("b")
    );
}

#[test]
fn leaving_and_tried() {
    let mut upstreams = [upstream("a", "near"), upstream("b", "near")];
    upstreams[0].ready = false;
    let mut picker = Picker::default();
    assert_eq!(
        pick(&mut picker, 0, &upstreams, &["b".parse().unwrap()]),
        None
    );
}
