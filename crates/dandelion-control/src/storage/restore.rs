//! Restores an exported snapshot into an empty data folder, for when a quorum is lost permanently.

use std::collections::BTreeMap;
use std::path::Path;

use crate::raft::GroupId;
use crate::raft::Join;
use crate::raft::Membership;
use crate::raft::ReplicaInfo;
use crate::raft::Snapshot;
use crate::storage::error::StorageError;
use crate::storage::snapshot_file;
use crate::storage::store::FileStorage;
use crate::storage::store::Storage;

/// Encodes a snapshot for export.
pub fn export_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>, StorageError> {
    snapshot_file::write_snapshot(snapshot)
}

/// Creates a data folder from an exported snapshot, with `owner` as the only voter of a new group.
/// `group` must be random: its new identity keeps replicas of the old group out of the new one.
pub fn restore_snapshot(
    folder: &Path,
    exported: &[u8],
    owner: &Join,
    group: GroupId,
) -> Result<(), StorageError> {
    let mut snapshot = snapshot_file::read_snapshot(exported)?;
    let mut storage = FileStorage::open(folder, owner.replica)?;
    let found = storage.recover();
    let used = found.snapshot.is_some() || !found.entries.is_empty();
    if used || found.replica != owner.replica {
        return Err(StorageError::NotEmpty {
            folder: folder.display().to_string(),
        });
    }
    let voter = ReplicaInfo {
        daemon: owner.daemon.clone(),
        zone: owner.zone.clone(),
        voter: true,
        joined: snapshot.at.index,
        added: false,
        outgoing: false,
        withdrawn: false,
    };
    snapshot.members = Membership {
        group,
        replicas: BTreeMap::from([(owner.replica, voter)]),
    };
    let mut hard = found.hard;
    hard.term = snapshot.at.term;
    storage.save_snapshot(&snapshot, hard, &[])
}
