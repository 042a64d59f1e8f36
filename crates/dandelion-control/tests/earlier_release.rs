//! Records of the membership as a daemon of the release before writes and reads them.

use dandelion_control::raft::ReplicaInfo;
use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use serde::Deserialize;
use serde::Serialize;

/// A record without the mark of replicas whose vote was withdrawn.
#[derive(Debug, Serialize, Deserialize)]
struct Earlier {
    daemon: DaemonId,
    zone: ZoneId,
    voter: bool,
    joined: u64,
}

fn replica(withdrawn: bool) -> ReplicaInfo {
    ReplicaInfo {
        daemon: "vm-1".parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        voter: false,
        joined: 7,
        added: false,
        outgoing: false,
        withdrawn,
    }
}

#[test]
fn absent_mark() {
    let record = Earlier {
        daemon: "vm-1".parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        voter: false,
        joined: 7,
    };
    let bytes = codec::encode(&record).unwrap();
    assert_eq!(
        codec::decode::<ReplicaInfo>(&bytes).unwrap(),
        replica(false)
    );
    assert_eq!(codec::encode(&replica(false)).unwrap(), bytes);
}

#[test]
fn unknown_mark() {
    let bytes = codec::encode(&replica(true)).unwrap();
    let read = codec::decode::<Earlier>(&bytes).unwrap();
    assert!(!read.voter, "it stays a learner");
}
