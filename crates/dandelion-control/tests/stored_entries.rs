//! Whether the leader knows that a daemon has stored an entry.

use dandelion_control::node::ReplicaStatus;
use dandelion_control::node::Status;
use dandelion_control::raft::ReplicaId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;

fn id(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn replica(number: u64, daemon: &str, lag: u64, alive: bool) -> ReplicaStatus {
    ReplicaStatus {
        replica: ReplicaId(number),
        daemon: id(daemon),
        zone: "a".parse().unwrap(),
        voter: true,
        lag: Some(lag),
        alive: Some(alive),
    }
}

fn status(replicas: Vec<ReplicaStatus>) -> Status {
    Status {
        term: Term(1),
        role: "leader".to_owned(),
        leader: Some(id("s-1")),
        in_charge: true,
        commit: 100,
        applied: Revision(100),
        snapshot: 0,
        log_bytes: 0,
        subscribers: 0,
        replicas,
    }
}

/// LOST: a store whose replica was not there yet, or lagged, said that it lacked no body, and the
/// store that had the bodies was let go.
#[test]
fn lagging_replica() {
    let status = status(vec![
        replica(1, "s-1", 0, true),
        replica(2, "s-2", 10, true),
        replica(3, "s-3", 0, false),
    ]);
    assert!(status.has_stored(&id("s-1"), 100));
    assert!(status.has_stored(&id("s-2"), 90));
    assert!(!status.has_stored(&id("s-2"), 91));
    assert!(!status.has_stored(&id("s-3"), 1), "it is silent");
    assert!(!status.has_stored(&id("s-4"), 1), "it has no replica");
}

/// A store that lost its disk has an old replica in the group and a new one, which counts.
#[test]
fn lost_disk() {
    let status = status(vec![
        replica(1, "s-1", 100, false),
        replica(2, "s-1", 0, true),
    ]);
    assert!(status.has_stored(&id("s-1"), 100));
}
