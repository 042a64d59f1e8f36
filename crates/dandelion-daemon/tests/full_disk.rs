//! A replica whose disk takes no more bytes for a while.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::node::NodeSettings;
use dandelion_control::raft::ReplicaId;
use dandelion_control::tables::BarrierTable;
use dandelion_daemon::control::CONTROL_GROUP;
use dandelion_daemon::control::ReplicaHandle;
use dandelion_kernel::Table;
use dandelion_net::clock;
use dandelion_protocol::codec;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::time::WallMillis;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;

/// Longest wait for a change of the replica's state.
const PATIENCE: Duration = Duration::from_secs(20);

/// Limits the size of all files that this process writes, as a full disk does.
fn limit_files(bytes: Option<u64>) {
    let limit = getrlimit(Resource::Fsize);
    let current = bytes.or(limit.maximum);
    setrlimit(Resource::Fsize, Rlimit { current, ..limit }).unwrap();
}

fn propose(replica: &ReplicaHandle, number: u128) -> Result<Answer, ProposeError> {
    let proposal = Proposal {
        id: RequestId(number),
        author: "test".to_owned(),
        at: WallMillis(0),
        expected: None,
        table: BarrierTable::NAME.to_owned(),
        command: codec::encode(&()).unwrap(),
    };
    task::block_on(replica.propose(proposal, Duration::from_secs(1)))
}

fn wait_until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "the state did not change in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A replica whose disk was full named itself as leader, and never took part in its group again. The
/// limit on files holds for the whole process, so this is the only test here.
#[test]
fn full_disk_loses_replica() {
    // The default action of this signal ends the process.
    let signalled = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(rustix::process::Signal::XFSZ.as_raw(), signalled).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let own: DaemonId = "d0".parse().unwrap();
    let storage = FileStorage::open(folder.path(), ReplicaId(1)).unwrap();
    let settings = NodeSettings {
        voters: 1,
        ..NodeSettings::new(own.clone(), "z".parse().unwrap(), vec![own.clone()])
    };
    let node = ControlNode::open(settings, storage, clock::boot_now(), 7).unwrap();
    let (replica, _messages) = ReplicaHandle::spawn(node, CONTROL_GROUP);
    wait_until(|| replica.leader() == Some(own.clone()));
    let first = propose(&replica, 1).unwrap();

    limit_files(Some(1));
    assert_eq!(propose(&replica, 2), Err(ProposeError::Unknown));
    wait_until(|| replica.leader().is_none());
    assert_eq!(propose(&replica, 3), Err(ProposeError::NoLeader));

    limit_files(None);
    wait_until(|| replica.leader() == Some(own.clone()));
    let next = propose(&replica, 4).unwrap();
    assert!(next.revision > first.revision, "the log is lost");
}
