//! Placement of result bodies, reads of them, and the search for missing ones.

use dandelion_batch::holders::MissingBody;
use dandelion_batch::holders::Placement;
use dandelion_batch::holders::rank;
use dandelion_batch::holders::read_order;
use dandelion_batch::holders::split_calls;
use dandelion_batch::holders::survey;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextRef;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ZoneId;

fn stores(zones: &[&str], each: usize) -> Vec<Member> {
    let mut stores = Vec::new();
    for zone in zones {
        for n in 0..each {
            stores.push(member(&format!("{zone}-{n}"), zone));
        }
    }
    stores
}

fn member(id: &str, zone: &str) -> Member {
    Member {
        id: id.parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: "10.0.0.1:1".to_owned(),
        incarnation: Incarnation(1),
        leaving: false,
        role: Role::Store,
        host: String::new(),
    }
}

fn bodies(lengths: &[u64]) -> Vec<MissingBody> {
    let bodies = lengths.iter().enumerate();
    let bodies = bodies.map(|(n, length)| MissingBody {
        key: TextKey {
            job: "j".to_owned(),
            item: n.to_string(),
            digest: 1,
        },
        length: *length,
    });
    bodies.collect()
}

#[test]
fn distinct_zones() {
    let stores = stores(&["a", "b", "c", "d"], 3);
    for job in 0..50 {
        let ranked = rank(&stores, &format!("job-{job}"));
        assert_eq!(ranked.len(), stores.len());
        let mut zones: Vec<&ZoneId> = ranked[..3].iter().map(|m| &m.zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 3, "three copies are in three zones");
    }
}

#[test]
fn even_share() {
    let stores = stores(&["a", "b", "c", "d"], 3);
    let assigned = |store: &Member| {
        let jobs = (0..400).map(|job| format!("job-{job}"));
        jobs.filter(|job| rank(&stores, job)[..3].iter().any(|m| m.id == store.id))
            .count()
    };
    for store in &stores {
        let count = assigned(store);
        assert!((60..=140).contains(&count), "{}: {count} of 400", store.id);
    }
}

/// A reader queries the store in its own zone first, and the leader before the stores that should
/// not hold the bodies.
#[test]
fn own_zone_first() {
    let stores = stores(&["a", "b", "c", "d"], 3);
    for job in 0..50 {
        let job = format!("job-{job}");
        let ranked = rank(&stores, &job);
        let (holder, leader) = (ranked[1], ranked[9]);
        let order = read_order(&stores, &job, 3, &holder.zone, Some(&leader.id));
        assert_eq!(order.len(), stores.len());
        assert_eq!(order[0].id, holder.id);
        assert_eq!(order[3].id, leader.id);
    }
}

/// No reply is long, however long the page is: a connection's buffers keep the size of the longest
/// message.
#[test]
fn short_replies() {
    let bodies = bodies(&[9_000; 84]);
    let calls = split_calls(&bodies);
    assert!(calls.iter().all(|call| call.len() <= 7));
    let keys: Vec<&TextKey> = calls.iter().flatten().collect();
    assert_eq!(keys, bodies.iter().map(|b| &b.key).collect::<Vec<_>>());
}

#[test]
fn long_body() {
    let bodies = bodies(&[10, 100_000, 10, 20]);
    let counts: Vec<usize> = split_calls(&bodies).iter().map(Vec::len).collect();
    assert_eq!(counts, [1, 1, 2]);
    assert!(split_calls(&[]).is_empty());
}

fn never(_: &TextKey) -> bool {
    false
}

fn listed(count: u64) -> Vec<ListedResult> {
    let results = (0..count).map(|n| ListedResult {
        id: n.to_string(),
        text: Some(TextRef {
            length: 100,
            digest: n,
        }),
        versions: vec![1],
        score: None,
    });
    results.collect()
}

#[test]
fn missing_bodies() {
    let results = listed(6);
    let holds = |key: &TextKey| Some(key.digest != 2 && key.digest != 4);
    let found = survey("j", &results, 1, 1_000, holds, never).unwrap();
    assert_eq!(found.held, 2);
    let items: Vec<&str> = found.lacking.iter().map(|w| w.key.item.as_str()).collect();
    assert_eq!(items, ["2", "4"]);
    let first = survey("j", &results, 1, 100, holds, never).unwrap();
    assert_eq!(first.lacking.len(), 1);
}

/// Without an answer from the disk, a body must not count as held: otherwise a draining store could
/// stop while its bodies are missing elsewhere, and later surveys would skip the body.
#[test]
fn stalled_disk() {
    let results = listed(3);
    let holds = |key: &TextKey| (key.digest != 1).then_some(true);
    assert_eq!(survey("j", &results, 0, 1_000, holds, never), None);
    let rest = survey("j", &results, 2, 1_000, holds, never);
    assert_eq!(rest.unwrap().held, 3);
}

/// LOST: bodies that no store returned were requested again in each round and took up its bytes, so
/// that the bodies after them were not copied.
#[test]
fn deferred_bodies() {
    let results = listed(6);
    let holds = |key: &TextKey| Some(key.digest == 0);
    let is_deferred = |key: &TextKey| key.digest <= 2;
    let found = survey("j", &results, 0, 200, holds, is_deferred).unwrap();
    assert_eq!(found.held, 1, "a deferred body does not count as held");
    let items: Vec<&str> = found.lacking.iter().map(|w| w.key.item.as_str()).collect();
    assert_eq!(items, ["3", "4"]);
}

/// LOST: a lost store counted as one that has its bodies until it was removed from the cell.
#[test]
fn lost_holder() {
    let stores = stores(&["a", "b", "c", "d"], 3);
    for job in 0..50 {
        let job = format!("job-{job}");
        let before = Placement::new(&stores, 3, |_| false).holders(&job);
        let lost = &before[1].id;
        let placement = Placement::new(&stores, 3, |m| m.id == *lost);
        let after = placement.holders(&job);
        assert_eq!(after.len(), 3);
        assert!(after.iter().all(|m| m.id != *lost));
        let kept = after.iter().filter(|m| before.contains(m)).count();
        assert_eq!(kept, 2, "only the lost copy is replaced");
        let written = placement.write_order(&job);
        assert_eq!(written[..3], after[..]);
        assert!(written.iter().all(|m| m.id != *lost), "it may be gone");
        let sources = placement.sources(&job);
        assert_eq!(sources.len(), stores.len());
        assert_eq!(sources.last().unwrap().id, *lost);
    }
}

/// LOST: a body that is only on a store that is being emptied could not be read.
#[test]
fn emptied_last() {
    let stores = stores(&["a", "b", "c"], 2);
    let emptied = &stores[0];
    let placement = Placement::new(&stores, 2, |m| m.id == emptied.id);
    let order = placement.read_order("j", &emptied.zone, None);
    assert_eq!(order.len(), stores.len());
    assert_eq!(order.last().unwrap().id, emptied.id);
}
