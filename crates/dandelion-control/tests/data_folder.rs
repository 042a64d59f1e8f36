//! The data folder: damaged and torn files, the lock, full disks, and restore of an export.

mod support;

use dandelion_control::ControlNode;
use dandelion_control::FileStorage;
use dandelion_control::node::NodeAction;
use dandelion_control::node::NodeEvent;
use dandelion_control::raft::Entry;
use dandelion_control::raft::GroupId;
use dandelion_control::raft::HardState;
use dandelion_control::raft::Join;
use dandelion_control::raft::Payload;
use dandelion_control::raft::Position;
use dandelion_control::raft::ReplicaId;
use dandelion_control::raft::Snapshot;
use dandelion_control::storage::DiskStorage;
use dandelion_control::storage::Storage;
use dandelion_control::storage::StorageError;
use dandelion_control::storage::restore;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use support::disk::SimDisk;
use support::group::Group;
use support::group::GroupOptions;
use support::tally;
use support::tally::Tally;

const FOLDER_ID: ReplicaId = ReplicaId(7);

fn entry(index: u64) -> Entry {
    Entry {
        at: Position {
            term: Term(1),
            index,
        },
        payload: Payload::Change(vec![index as u8; 20]),
    }
}

fn open(disk: &SimDisk) -> Result<DiskStorage<SimDisk>, StorageError> {
    DiskStorage::open_disk(disk.clone(), FOLDER_ID)
}

fn disk_with_entries(entries: u64) -> SimDisk {
    let disk = SimDisk::new(1);
    let mut storage = open(&disk).unwrap();
    for index in 1..=entries {
        storage.write(None, &[entry(index)]).unwrap();
    }
    disk
}

#[test]
fn survives_restart() {
    let folder = tempfile::tempdir().unwrap();
    let hard = HardState {
        term: Term(4),
        vote: Some(ReplicaId(9)),
    };
    let mut storage = FileStorage::open(folder.path(), FOLDER_ID).unwrap();
    storage.write(Some(hard), &[entry(1), entry(2)]).unwrap();
    drop(storage);
    let mut again = FileStorage::open(folder.path(), ReplicaId(8)).unwrap();
    let found = again.recover();
    assert_eq!(found.replica, FOLDER_ID);
    assert_eq!(found.hard, hard);
    assert_eq!(found.entries, vec![entry(1), entry(2)]);
}

#[test]
fn folder_in_use() {
    let folder = tempfile::tempdir().unwrap();
    let held = FileStorage::open(folder.path(), FOLDER_ID).unwrap();
    let refused = FileStorage::open(folder.path(), FOLDER_ID).unwrap_err();
    assert!(matches!(refused, StorageError::Locked { .. }), "{refused}");
    drop(held);
    FileStorage::open(folder.path(), FOLDER_ID).unwrap();
}

#[test]
fn torn_tail() {
    for lost in 1..60 {
        let disk = disk_with_entries(3);
        disk.truncate_tail("log", lost);
        let mut storage = open(&disk).unwrap();
        assert_eq!(storage.recover().entries, vec![entry(1), entry(2)]);
        storage.write(None, &[entry(3)]).unwrap();
        drop(storage);
        assert_eq!(open(&disk).unwrap().recover().entries.len(), 3);
    }
}

#[test]
fn damaged_middle() {
    let (head, full) = (
        disk_with_entries(0).length("log"),
        disk_with_entries(3).length("log"),
    );
    let frame = (full - head) / 3;
    for offset in 0..full - frame {
        let disk = disk_with_entries(3);
        disk.flip_bit("log", offset);
        let refused = open(&disk).unwrap_err();
        let typed = matches!(
            refused,
            StorageError::Damaged { .. } | StorageError::Format { .. }
        );
        assert!(typed, "byte {offset}: {refused}");
    }
}

#[test]
fn damaged_snapshot() {
    let disk = SimDisk::new(1);
    let mut storage = open(&disk).unwrap();
    let snapshot = Snapshot {
        at: entry(5).at,
        data: vec![3; 50],
        ..Snapshot::default()
    };
    let hard = HardState::default();
    storage.save_snapshot(&snapshot, hard, &[entry(6)]).unwrap();
    assert_eq!(open(&disk).unwrap().recover().entries, vec![entry(6)]);
    disk.flip_bit("snapshot", 40);
    let refused = open(&disk).unwrap_err();
    assert!(refused.to_string().contains("move the data folder away"));
}

/// After a crash at any operation of writing a snapshot, either the old or the new state is found.
#[test]
fn crash_in_snapshot() {
    for operations in 0..12 {
        let disk = disk_with_entries(8);
        let mut storage = open(&disk).unwrap();
        let snapshot = Snapshot {
            at: entry(5).at,
            ..Snapshot::default()
        };
        let kept = [entry(6), entry(7), entry(8)];
        disk.crash_after(operations);
        let saved = storage.save_snapshot(&snapshot, HardState::default(), &kept);
        assert_eq!(saved.is_ok(), operations >= 10, "{operations}");
        disk.crash();
        let mut again = open(&disk).unwrap();
        let found = again.recover();
        let first = found.snapshot.map_or(1, |s| s.at.index + 1);
        let expected = (first..=8).map(entry).collect::<Vec<_>>();
        assert_eq!(found.entries, expected, "crashed at {operations}");
        again.write(None, &[entry(9)]).unwrap();
        assert_eq!(
            open(&disk).unwrap().recover().entries.last(),
            Some(&entry(9))
        );
    }
}

#[test]
fn full_disk() {
    let disk = disk_with_entries(2);
    let mut storage = open(&disk).unwrap();
    disk.set_full(true);
    let refused = storage.write(None, &[entry(3)]).unwrap_err();
    assert!(matches!(refused, StorageError::Full { .. }), "{refused}");
    disk.set_full(false);
    let still = storage.write(None, &[entry(3)]).unwrap_err();
    assert_eq!(still, refused, "a failed storage must be opened again");
    let mut again = open(&disk).unwrap();
    assert_eq!(again.recover().entries.len(), 2);
    again.write(None, &[entry(3)]).unwrap();
}

#[test]
fn reopened_after_full() {
    let disk = disk_with_entries(2);
    let mut storage = open(&disk).unwrap();
    storage.recover();
    disk.set_full(true);
    storage.write(None, &[entry(3)]).unwrap_err();
    storage.reopen().unwrap_err();
    disk.set_full(false);
    storage.reopen().unwrap();
    assert_eq!(storage.recover().entries, vec![entry(1), entry(2)]);
    storage.write(None, &[entry(3)]).unwrap();
    disk.crash();
    assert_eq!(open(&disk).unwrap().recover().entries.len(), 3);
}

#[test]
fn other_version() {
    let disk = disk_with_entries(1);
    disk.flip_bit("log", 6);
    let refused = open(&disk).unwrap_err();
    assert!(matches!(refused, StorageError::Format { .. }), "{refused}");
}

#[test]
fn restored_export() {
    let folder = tempfile::tempdir().unwrap();
    let snapshot = Snapshot {
        at: entry(5).at,
        data: vec![3; 50],
        ..Snapshot::default()
    };
    let exported = restore::export_snapshot(&snapshot).unwrap();
    let owner = Join {
        replica: FOLDER_ID,
        daemon: "vm-0".parse().unwrap(),
        zone: "zone-0".parse().unwrap(),
        added: false,
    };
    restore::restore_snapshot(folder.path(), &exported, &owner, GroupId(5)).unwrap();
    let mut storage = FileStorage::open(folder.path(), FOLDER_ID).unwrap();
    let found = storage.recover().snapshot.unwrap();
    assert_eq!(found.data, snapshot.data);
    assert!(found.members.is_voter(FOLDER_ID));
    drop(storage);
    let again = restore::restore_snapshot(folder.path(), &exported, &owner, GroupId(6));
    assert!(matches!(again, Err(StorageError::NotEmpty { .. })));
}

/// A single voter of a new group continues from an exported state; a resend gets its first answer.
#[test]
fn restored_group() {
    let mut group = Group::start(GroupOptions::of(3), 3);
    assert!(group.run_until(3000, Group::is_converged));
    let leader = group.leader().unwrap();
    group.propose(leader, 1);
    assert!(group.run_until(2000, |group| group.checks.first_answers.contains_key(&1)));
    let exported = group.node(leader).unwrap().export().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let settings = group.vms[0].settings.clone();
    let owner = Join {
        replica: FOLDER_ID,
        daemon: settings.daemon.clone(),
        zone: settings.zone.clone(),
        added: false,
    };
    restore::restore_snapshot(folder.path(), &exported, &owner, GroupId(5)).unwrap();
    let storage = FileStorage::open(folder.path(), FOLDER_ID).unwrap();
    let mut node = ControlNode::open(settings, storage, Millis(0), 1).unwrap();
    let mut answers = Vec::new();
    for now in (0..1000).step_by(10) {
        let ticket = now + 1;
        let propose = NodeEvent::Propose {
            ticket,
            proposal: tally::count(1),
        };
        let events = vec![NodeEvent::Tick, propose];
        let mut actions = Vec::new();
        let wall = WallMillis(now);
        node.step(Millis(now), wall, events, &mut actions).unwrap();
        answers.extend(actions.into_iter().filter_map(|action| match action {
            NodeAction::Answer { result, .. } => result.ok(),
            _ => None,
        }));
    }
    assert!(!answers.is_empty(), "the single voter leads");
    assert!(
        answers
            .iter()
            .all(|answer| *answer == group.checks.first_answers[&1])
    );
    assert_eq!(node.tables().table::<Tally>().unwrap().0[&1], 1);
}
