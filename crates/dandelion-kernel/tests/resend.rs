//! Resent and conflicting proposals applied to one table set.

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

#[derive(Debug, Default, Serialize, Deserialize)]
struct Counter(u64);

impl Table for Counter {
    const NAME: &'static str = "counter";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = true;
    type Command = u64;
    type Reply = u64;

    fn apply(&mut self, _: &ApplyContext<'_>, command: u64) -> Result<u64, Rejection> {
        self.0 += command;
        Ok(self.0)
    }
}

#[distributed_slice(TABLES)]
static COUNTER: TableEntry = TableEntry::of::<Counter>();

fn add(id: u128, expected: Option<u64>, amount: u64) -> Proposal {
    Proposal {
        id: RequestId(id),
        author: format!("author-{id}"),
        at: WallMillis(1),
        expected: expected.map(Revision),
        table: "counter".to_owned(),
        command: codec::encode(&amount).unwrap(),
    }
}

fn count(set: &TableSet) -> u64 {
    set.table::<Counter>().unwrap().0
}

#[test]
fn resend_deduplicated() {
    let mut set = TableSet::open_all();
    let first = set.apply(Revision(1), &add(7, None, 5));
    let again = set.apply(Revision(2), &add(7, None, 5));
    assert_eq!(first, again);
    assert_eq!(count(&set), 5);
}

#[test]
fn reused_id() {
    let mut set = TableSet::open_all();
    set.apply(Revision(1), &add(7, None, 5));
    let other = set.apply(Revision(2), &add(7, None, 6));
    let Err(Rejection::IdReused { winner, .. }) = other.result else {
        panic!("expected a typed conflict, got {other:?}");
    };
    assert_eq!(winner, "author-7");
    assert_eq!(count(&set), 5);
}

#[test]
fn conflict_names_winner() {
    let mut set = TableSet::open_all();
    set.apply(Revision(1), &add(1, Some(0), 5));
    let lost = set.apply(Revision(2), &add(2, Some(0), 6));
    let Err(Rejection::Conflict {
        winner, request, ..
    }) = lost.result
    else {
        panic!("expected a typed conflict, got {lost:?}");
    };
    assert_eq!((winner.as_str(), request), ("author-1", RequestId(1)));
    assert_eq!(count(&set), 5);
}

#[test]
fn image_keeps_answers() {
    let mut set = TableSet::open_all();
    let first = set.apply(Revision(1), &add(7, None, 5));
    let mut copy = TableSet::open_all();
    copy.restore(&set.image().unwrap()).unwrap();
    assert_eq!(copy.apply(Revision(2), &add(7, None, 5)), first);
    assert_eq!(count(&copy), 5);
}
